package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
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
	// gangsGathering is for how many gangs room is gathered, and gangReservedCores what is
	// kept free for them.
	gangsGathering, gangReservedCores tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	m := metrics{
		started: s.Counter("starts_accepted"), unanswered: s.Counter("starts_unanswered"), adviceAnswers: s.Counter("advice_answers"), connectionsLost: s.Counter("host_connections_lost"),
		refused: make(map[string]tally.Counter), ended: make(map[cell.Outcome]tally.Counter), startWait: s.Timer("start_wait"),
		heldWeight: s.Gauge("held_weight"), deferred: s.Gauge("submissions_deferred"), startsWaiting: s.Gauge("starts_waiting"),
		gangsGathering: s.Gauge("gangs_gathering"), gangReservedCores: s.Gauge("gang_reserved_cores"),
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

// setGangRoom shows what is kept free for gangs.
func (m *metrics) setGangRoom(r schedule.GangRoom) {
	m.gangsGathering.Update(float64(r.Gathering))
	m.gangReservedCores.Update(float64(r.ReservedMilliCPU) / 1000)
}
