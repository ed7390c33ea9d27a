package owner

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

const (
	// slowDecisionThreshold is the time of a decision, or of the wait for the owner's
	// lock before it, from which it is logged.
	slowDecisionThreshold = 200 * time.Millisecond
	// lateRecordThreshold is the time between two appends of the owner from which the
	// later one is logged.
	lateRecordThreshold = 2 * heartbeatInterval
	// lateStartThreshold is the time between the check of the authority and the sending of a
	// start order from which it is logged.
	lateStartThreshold = 100 * time.Millisecond
	// delayLogInterval is the shortest time between two lines about the same kind of
	// delay.
	delayLogInterval = time.Second
)

// delayLog reports what delays the owner: decisions, the wait for the owner's lock,
// and appends.
type delayLog struct {
	log                                  *slog.Logger
	decisionTime, lockWait, timeToAppend tally.Timer
	slowDecisions, lateRecords           *rate.Sometimes
	// startsDelayed counts the start orders that were sent late after the check of the authority.
	startsDelayed tally.Counter
	lateStarts    *rate.Sometimes
	// lastSentAt is when the last append was sent, lastTook how long it took.
	lastSentAt, lastTook *atomic.Int64
}

func newDelayLog(log *slog.Logger, s tally.Scope) delayLog {
	if s == nil {
		s = tally.NoopScope
	}
	return delayLog{
		log: log, decisionTime: s.Timer("decision_time"), lockWait: s.Timer("decision_lock_wait"), timeToAppend: s.Timer("owner_append_time"),
		lastSentAt: new(atomic.Int64), lastTook: new(atomic.Int64), slowDecisions: &rate.Sometimes{Interval: delayLogInterval}, lateRecords: &rate.Sometimes{Interval: delayLogInterval},
		startsDelayed: s.Counter("starts_delayed"), lateStarts: &rate.Sometimes{Interval: delayLogInterval},
	}
}

// decision reports a decision that waited for the owner's lock and then took a time.
func (d *delayLog) decision(waited, took time.Duration, p *schedule.Plan) {
	d.lockWait.Record(waited)
	d.decisionTime.Record(took)
	if max(waited, took) < slowDecisionThreshold {
		return
	}
	d.slowDecisions.Do(func() {
		d.log.Warn("A decision was slow.", "lock_wait", waited, "took", took, "starts", len(p.Starts), "stops", len(p.Stops), "advice_requests", len(p.AdviceRequests))
	})
}

// startSent reports a start order that is sent a time after the check of the authority, at which
// its lease was computed.
func (d *delayLog) startSent(sinceCheck time.Duration) {
	if sinceCheck < lateStartThreshold {
		return
	}
	d.startsDelayed.Inc(1)
	d.lateStarts.Do(func() {
		d.log.Warn("A start order is sent late after the check of the authority.", "after", sinceCheck)
	})
}

// stored reports an append that was sent at a time and took a time.
func (d *delayLog) stored(sentAt, took time.Duration, records int) {
	d.timeToAppend.Record(took)
	last := time.Duration(d.lastSentAt.Swap(int64(sentAt)))
	lastTook := time.Duration(d.lastTook.Swap(int64(took)))
	if gap := sentAt - last; last != 0 && gap > lateRecordThreshold {
		d.lateRecords.Do(func() {
			d.log.Warn("The records of the owner are late.", "after", gap, "took", took, "previous_took", lastTook, "records", records)
		})
	}
}
