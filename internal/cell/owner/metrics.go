package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// Reasons why a start order is withheld.
const (
	withheldEvacuated     = "zone_evacuated"
	withheldUnproven      = "zones_unproven"
	withheldCancellations = "cancellations_unread"
)

// metrics counts the orders of the owner and their results, and shows what its bounds hold.
type metrics struct {
	started, unanswered, adviceAnswers, connectionsLost tally.Counter
	// misdelivered counts the polls for a lifetime of a host that a later one has carried out,
	// forgottenEnds the ends that a host has forgotten although it had not listed them.
	misdelivered, forgottenEnds tally.Counter
	refused                     map[string]tally.Counter
	ended                       map[cell.Outcome]tally.Counter
	// repeated counts the evidence of tasks that have run twice, by kind.
	repeated  [schedule.RepetitionKinds]tally.Counter
	startWait tally.Timer
	// heldWeight is how much work the scheduler holds, deferred the number of submissions
	// that wait until it may hold theirs, and startsWaiting that of starts to be sent.
	heldWeight, deferred, startsWaiting tally.Gauge
	// startsHeld is 1 while no starts are planned since the evacuated zones or
	// the cancellations are not known.
	startsHeld tally.Gauge
	// tombstones is the number of stored tombstones.
	tombstones tally.Gauge
	// withheld counts the start orders that were not sent for an evacuation, or for a
	// cancellation that may be unread, by reason.
	withheld map[string]tally.Counter
	runTimes runTimeGauges
	load     loadMetrics
	gangRoom gangRoomMetrics
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	m := metrics{
		started: s.Counter("starts_accepted"), unanswered: s.Counter("starts_unanswered"), adviceAnswers: s.Counter("advice_answers"), connectionsLost: s.Counter("host_connections_lost"),
		misdelivered: s.Counter("polls_misdelivered"), forgottenEnds: s.Counter("ends_forgotten"),
		refused: make(map[string]tally.Counter), ended: make(map[cell.Outcome]tally.Counter), startWait: s.Timer("start_wait"),
		heldWeight: s.Gauge("held_weight"), deferred: s.Gauge("submissions_deferred"), startsWaiting: s.Gauge("starts_waiting"),
		startsHeld: s.Gauge("starts_held"), tombstones: s.Gauge("tombstones"), withheld: make(map[string]tally.Counter),
		repeated: newRepetitionCounters(s),
		runTimes: newRunTimeGauges(s),
		load:     newLoadMetrics(s),
		gangRoom: newGangRoomMetrics(s),
	}
	for o := cell.OutcomeUnknown; o <= cell.OutcomeGangTimeout; o++ {
		m.ended[o] = s.Tagged(map[string]string{"outcome": o.String()}).Counter("runs_ended")
	}
	for r := range schedulerRefusals {
		m.refused[r.String()] = s.Tagged(map[string]string{"reason": r.String()}).Counter("starts_refused")
	}
	for _, r := range []string{withheldEvacuated, withheldUnproven, withheldCancellations} {
		m.withheld[r] = s.Tagged(map[string]string{"reason": r}).Counter("starts_withheld")
	}
	return m
}

// setHeld shows whether no starts are planned.
func (m *metrics) setHeld(held bool) { updateFlag(m.startsHeld, held) }

// setBounds shows how much the scheduler holds, how many submissions wait for room there, and
// how many starts wait to be sent.
func (m *metrics) setBounds(weight, deferred, startsWaiting int) {
	m.heldWeight.Update(float64(weight))
	m.deferred.Update(float64(deferred))
	m.startsWaiting.Update(float64(startsWaiting))
}
