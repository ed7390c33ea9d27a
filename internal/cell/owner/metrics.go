package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
)

// metrics counts the orders of the owner and their results, and shows what its bounds hold.
type metrics struct {
	started, unanswered, adviceAnswers, connectionsLost tally.Counter
	refused                                             map[string]tally.Counter
	ended                                               map[cell.Outcome]tally.Counter
	startWait                                           tally.Timer
	// heldWeight is how much work the scheduler holds, deferred the number of submissions
	// that wait until it may hold theirs, and startsWaiting that of starts to be sent.
	heldWeight, deferred, startsWaiting tally.Gauge
	// backlogs is the number of teams and queues with a published wait, longestWait the longest
	// of them in seconds, sharesHeld the steps that are held back for in-time work.
	backlogs, longestWait, sharesHeld, contended tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	m := metrics{
		started: s.Counter("starts_accepted"), unanswered: s.Counter("starts_unanswered"), adviceAnswers: s.Counter("advice_answers"), connectionsLost: s.Counter("host_connections_lost"),
		refused: make(map[string]tally.Counter), ended: make(map[cell.Outcome]tally.Counter), startWait: s.Timer("start_wait"),
		heldWeight: s.Gauge("held_weight"), deferred: s.Gauge("submissions_deferred"), startsWaiting: s.Gauge("starts_waiting"),
		backlogs: s.Gauge("admission_backlogs"), longestWait: s.Gauge("admission_longest_wait_seconds"), sharesHeld: s.Gauge("steps_held_back"), contended: s.Gauge("capacity_contended"),
	}
	for o := cell.OutcomeUnknown; o <= cell.OutcomeGangTimeout; o++ {
		m.ended[o] = s.Tagged(map[string]string{"outcome": o.String()}).Counter("runs_ended")
	}
	for r := range schedulerRefusals {
		m.refused[r.String()] = s.Tagged(map[string]string{"reason": r.String()}).Counter("starts_refused")
	}
	return m
}

// setBounds shows how much the scheduler holds, how many submissions wait for room there, and
// how many starts wait to be sent.
func (m *metrics) setBounds(weight, deferred, startsWaiting int) {
	m.heldWeight.Update(float64(weight))
	m.deferred.Update(float64(deferred))
	m.startsWaiting.Update(float64(startsWaiting))
}

// setBacklogs shows the published waits.
func (m *metrics) setBacklogs(list []admission.Backlog) {
	longest := int64(0)
	for _, b := range list {
		longest = max(longest, b.OwnMs, b.CellMs)
	}
	m.backlogs.Update(float64(len(list)))
	m.longestWait.Update(float64(longest) / 1000)
}

// setShares shows whether teams want more than the cell has, and what is held back.
func (m *metrics) setShares(held int, contended bool) {
	m.sharesHeld.Update(float64(held))
	value := 0.0
	if contended {
		value = 1
	}
	m.contended.Update(value)
}
