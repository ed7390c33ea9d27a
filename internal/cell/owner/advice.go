package owner

import (
	"context"
	"errors"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

// adviceCalls counts the time of the advice calls in flight. It is guarded by the
// owner's lock.
type adviceCalls map[time.Duration]int

// planned counts the calls of a plan.
func (c adviceCalls) planned(requests []schedule.AdviceRequest) {
	for _, r := range requests {
		c[r.Duration]++
	}
}

// ended counts a call as ended.
func (c adviceCalls) ended(r schedule.AdviceRequest) {
	if c[r.Duration]--; c[r.Duration] == 0 {
		delete(c, r.Duration)
	}
}

// room returns how many more calls the nodes take.
func (c adviceCalls) room(a Advisor) cell.AdviceRoom {
	if a == nil {
		return cell.AdviceRoom{}
	}
	room := a.Capacity()
	for d, n := range c {
		for range n {
			room.Take(d)
		}
	}
	return room
}

// requestAdvice makes one advice call and passes the answer to the scheduler.
func (ow *Owner) requestAdvice(ctx context.Context, a schedule.AdviceRequest) {
	call := advice.Call{Token: ow.options.Self.Token, Group: a.Group, Hosts: a.Hosts, Duration: a.Duration}
	tickets, err := ow.options.Advisor.Ask(ctx, call, a.Priority)
	switch {
	case errors.Is(err, advice.ErrStale):
		ow.loseOwnership("a node has seen the advice call of an owner with a higher fencing token")
		return
	case err != nil:
		if ctx.Err() != nil {
			return // the term has ended
		}
		ow.options.Log.Warn("All attempts to call the advice service failed.", "id", a.Group.Submission, "step", a.Group.Step, "error", err)
		ow.adviceEnded(a, func(s *schedule.Scheduler, now time.Duration) { s.AdviceFailed(a.Group, now) })
		ctxtime.Sleep(ctx, maxDecisionInterval)
	default:
		ow.metrics.adviceAnswers.Inc(1)
		ow.options.Log.Info("The advice service answered.", "id", a.Group.Submission, "step", a.Group.Step, "named", len(a.Hosts), "approved", len(tickets))
		ow.adviceEnded(a, func(s *schedule.Scheduler, now time.Duration) { s.AdviceReceived(a.Group, a.Hosts, tickets, now) })
	}
	ow.requestDecision()
}

// adviceEnded counts a call as ended and passes its outcome to the scheduler.
func (ow *Owner) adviceEnded(a schedule.AdviceRequest, apply func(s *schedule.Scheduler, now time.Duration)) {
	ow.withScheduler(func(s *schedule.Scheduler, now time.Duration) {
		ow.advice.ended(a)
		apply(s, now)
	})
}
