package owner

import (
	"context"
	"errors"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

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
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.AdviceFailed(a.Group, now) })
		ctxtime.Sleep(ctx, maxDecisionInterval)
	default:
		ow.metrics.adviceAnswers.Inc(1)
		ow.options.Log.Info("The advice service answered.", "id", a.Group.Submission, "step", a.Group.Step, "named", len(a.Hosts), "approved", len(tickets))
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.AdviceReceived(a.Group, a.Hosts, tickets, now) })
	}
	ow.requestDecision()
}
