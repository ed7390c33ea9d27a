package schedule

import (
	"encoding/json"
	"math"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// notableLogSlowness is the least logarithm of a host's slowness that is stored: smaller ones
// are within the error of measurement.
const notableLogSlowness = 0.05

// learningSnapshot is the stored form of what is learned from ended runs.
type learningSnapshot struct {
	Model json.RawMessage `json:"model"`
	// Hosts holds the slowness of the hosts that are not of normal speed.
	Hosts map[string]float64 `json:"hosts,omitempty"`
}

// encode returns the stored form, nil if it exceeds the bound.
func (l learningSnapshot) encode() []byte {
	data, err := json.Marshal(l)
	if err != nil || runtimes.CheckSize("", data) != nil {
		return nil
	}
	return data
}

// RunTimes returns what is learned from ended runs in a form for RestoreRunTimes, at most
// runtimes.MaxSnapshotBytes; nil if nothing has been learned since the last call.
func (s *Scheduler) RunTimes() []byte {
	if s.learning == nil || s.learning.observed == s.learning.stored {
		return nil
	}
	s.learning.stored = s.learning.observed
	snapshot := learningSnapshot{Model: s.learning.model.Snapshot(), Hosts: make(map[string]float64)}
	if snapshot.Model == nil {
		return nil
	}
	for _, h := range s.sortedHosts {
		if slowness := h.health.slowness; math.Abs(math.Log(slowness)) >= notableLogSlowness {
			snapshot.Hosts[h.spec.ID] = math.Round(100*slowness) / 100
		}
	}
	data := snapshot.encode()
	if data == nil {
		snapshot.Hosts = nil // they are learned again sooner than run times
		data = snapshot.encode()
	}
	return data
}

// RestoreRunTimes takes over what an earlier owner has learned. Nothing is changed if it is
// malformed.
func (s *Scheduler) RestoreRunTimes(data []byte) error {
	if s.learning == nil || len(data) == 0 {
		return nil
	}
	if err := runtimes.CheckSize("the record of run times", data); err != nil {
		return err
	}
	var snapshot learningSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return eris.Wrap(err, "decode the record of run times")
	}
	if err := s.learning.model.Restore(snapshot.Model); err != nil {
		return err
	}
	s.learning.storedSlowness = snapshot.Hosts
	for _, h := range s.sortedHosts {
		s.learning.restoreSpeed(h, h.spec.ID)
	}
	return nil
}

// restoreSpeed sets the speed of a host that has no runs yet to the stored one.
func (l *learning) restoreSpeed(h *host, id string) {
	slowness, ok := l.storedSlowness[id]
	if !ok || h.health.speed.runs > 0 || !(slowness > 0) {
		return
	}
	h.health.speed = hostSpeed{logSlowness: min(max(math.Log(slowness), -maxLogSlowness), maxLogSlowness), runs: speedWindow / 2}
	h.health.slowness = l.slowness(h.health.speed)
}

// RunTimeTotals returns figures about the learned run times, and false if none are learned.
func (s *Scheduler) RunTimeTotals() (t runtimes.Totals, learned bool) {
	if s.learning == nil {
		return t, false
	}
	return s.learning.model.Totals(), true
}
