package owner

import (
	"time"

	"golang.org/x/time/rate"
)

// cancellationsRead tells up to when the scheduler knows which submissions were cancelled.
type cancellationsRead struct {
	// asOf is a time such that every record of the work topic stored before it has been passed
	// to the scheduler; read is false if there is none.
	asOf time.Duration
	read bool
}

// isRecent reports whether start orders may be sent, given the time from the acknowledgement of
// a cancellation from which nothing of the submission may start; zero for no bound.
func (c cancellationsRead) isRecent(now, bound time.Duration) bool {
	return bound == 0 || c.read && now < c.asOf+maxReadAge(bound)
}

// cancellations is what the owner knows of cancellations. It is guarded by the owner's lock but
// for its limit of log lines.
type cancellations struct {
	cancellationsRead
	// heldSince is since when no starts are planned; zero while they are. requestedAt is when
	// other nodes were last asked to take over, or when that began.
	heldSince, requestedAt time.Duration
	withheld               *rate.Sometimes
}

func newCancellations() cancellations {
	return cancellations{withheld: &rate.Sometimes{Interval: withheldLogInterval}}
}

// updateCancellations notes how far the work topic has been read, before the events of these
// records are applied, and reports whether starts may be planned. What was read and not applied
// counts as unread. The caller holds ow.mu, also while it applies the events.
func (ow *Owner) updateCancellations() (recent bool) {
	c := &ow.cancellations
	if ow.options.WorkAsOf != nil {
		c.asOf, c.read = ow.options.WorkAsOf()
	}
	now, bound := ow.options.Clock.Now(), ow.options.CancelBound
	recent = c.isRecent(now, bound)
	switch {
	case !recent && c.heldSince == 0:
		ow.options.Log.Warn("No tasks start: the last read of the work topic is too old; submissions may be cancelled.", "max_age", maxReadAge(bound))
		c.heldSince, c.requestedAt = now, now
	case !recent && now >= c.requestedAt+heldStartsTimeout && ow.options.RequestTakeover != nil:
		c.requestedAt = now
		ow.runGuarded(ow.options.RequestTakeover) // it must not be called under the lock
	case recent && c.heldSince != 0:
		ow.options.Log.Info("The work topic has been read again; tasks start again.", "held", now-c.heldSince)
		c.heldSince = 0
	}
	return recent
}

// mayStartAsOf reports whether a start order may be sent that was found to be due with what was
// known of cancellations. Like mayStartIn, it is called right before the order.
func (ow *Owner) mayStartAsOf(known cancellationsRead) bool {
	now := ow.options.Clock.Now()
	if known.isRecent(now, ow.options.CancelBound) {
		return true
	}
	ow.metrics.withheld[withheldCancellations].Inc(1)
	ow.cancellations.withheld.Do(func() {
		ow.options.Log.Info("Start orders are withheld: submissions may be cancelled.", "age", now-known.asOf, "read", known.read)
	})
	return false
}
