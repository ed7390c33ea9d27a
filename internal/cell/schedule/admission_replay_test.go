package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
)

// admissionReplay replays a load at whose entry a gate decides, as the nodes do. The team that
// sends the burst has a limit of half of what it usually uses.
type admissionReplay struct {
	*loadReplay
	gate    admission.Gate
	summary *admission.Summary
	readAt  time.Duration
	refused map[string]bool
}

// summaryInterval is how often the owner publishes a summary, and readDelay how much later
// nodes read it.
const (
	summaryInterval = time.Second
	readDelay       = 100 * time.Millisecond
)

func newAdmissionReplay(seed uint64, on bool) *admissionReplay {
	a := &admissionReplay{loadReplay: newLoadReplay(seed, Features{FairShares: true, Admission: on}), refused: map[string]bool{}}
	a.burst = 30
	weights := 0.0
	for i := range replayTeams {
		weights += replayWeight(i)
	}
	t := a.teams[a.burstTeam]
	t.Limit.MilliCPU = int64(0.5 * a.load * replayHosts * replayCores * 1000 * replayWeight(burstingTeam) / weights)
	a.teams[a.burstTeam] = t
	a.cluster.publish()
	if on {
		a.admits, a.observe = a.admit, a.publishSummary
	}
	return a
}

func (a *admissionReplay) publishSummary() {
	if a.summary == nil || a.now >= a.readAt+summaryInterval {
		s := a.s.LoadSummary()
		a.summary, a.readAt = &s, a.now
	}
}

func (a *admissionReplay) admit(sub *cell.Submission) bool {
	q, ok := AdmissionRequest(sub, sub.Queue)
	if !ok || a.gate.Decide(q, a.summary, a.now-a.readAt+readDelay, a.now) == nil {
		return true
	}
	a.refused[sub.ID] = true
	return false
}

// served counts the accepted submissions, and those of them that ended when still of use.
func (a *admissionReplay) served() (p servedPart) {
	for id := range a.latest {
		p.add(a.loadReplay, id)
	}
	return p
}

// Guards against refusals of what would have ended in time: the refused submissions of an
// overloaded burst are let in instead. The accepted ones must be served better for it.
func TestRefusedSubmissionsWouldHaveEndedTooLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		without, with := newAdmissionReplay(seed, false), newAdmissionReplay(seed, true)
		for _, r := range []*admissionReplay{without, with} {
			r.run(30*time.Second, 30*time.Second)
			for _, v := range r.violations {
				t.Error(v)
			}
		}
		inTime := 0
		for id := range with.refused {
			if at, ok := without.ended[id]; ok && at <= without.latest[id] {
				inTime++
			}
		}
		before, after := without.served(), with.served()
		t.Logf("seed %d: %d submissions are refused; let in, %d of them end in time. In time without admission control: %d of %d (%.3f), with it: %d of %d (%.3f)",
			seed, len(with.refused), inTime, before.inTime, before.all, before.part(), after.inTime, after.all, after.part())
		if len(with.refused) == 0 {
			t.Error("nothing is refused")
		}
		if inTime > 0 {
			t.Errorf("%d of %d refused submissions would have ended in time", inTime, len(with.refused))
		}
		if after.inTime < before.inTime {
			t.Errorf("%d submissions are in time, %d if none is refused", after.inTime, before.inTime)
		}
	}
}
