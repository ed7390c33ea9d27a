package owner

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 700 * time.Millisecond
	// stopRetryInterval is the wait before a failed stop order is sent again.
	stopRetryInterval = 200 * time.Millisecond
)

// execute sends the orders of a plan.
func (ow *Owner) execute(ctx context.Context, p *schedule.Plan) {
	sendAll(ctx, ow, ow.starts, p.Starts, ow.start)
	sendAll(ctx, ow, ow.stops, p.Stops, ow.stop)
	for _, a := range p.AdviceRequests {
		ow.runGuarded(func() { ow.requestAdvice(ctx, a) })
	}
}

func (ow *Owner) poller(id string) *hostPoller {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.hosts[id]
}

// withScheduler runs f on the scheduler under the owner's lock.
func (ow *Owner) withScheduler(f func(s *schedule.Scheduler, now time.Duration)) {
	ow.withState(func() { f(ow.scheduler, ow.options.Clock.Now()) })
}

func (ow *Owner) start(ctx context.Context, s schedule.Start) {
	h := ow.poller(s.Host)
	refused := func(why schedule.Refusal) {
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Refused(s.Host, s.Task, s.Run, why, now) })
	}
	if h == nil {
		refused(schedule.RefusedOther)
		return
	}
	target, sent, known := ow.startTarget(h, s)
	if sent == nil {
		refused(schedule.RefusedOther)
		return
	}
	order := platform.Start{
		Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		LeaseEndMs: sent.leaseEnd.Milliseconds(), Token: sent.token,
	}
	// The time-out begins before the check, so that it also bounds a pause between the two.
	callCtx, cancel := context.WithTimeout(ctx, ow.startTimeout())
	defer cancel()
	if !ow.mayStartIn(target.Zone) || !ow.mayStartAsOf(known) {
		h.calls.remove(sent)
		refused(schedule.RefusedOther)
		return
	}
	ow.delays.startSent(ow.options.Clock.Now() - sent.grantedAt)
	clockMs, why, err := ow.options.HostClient.Start(callCtx, &target, order)
	ow.recordStartCall(h, sent, clockMs, why, err)
	log := ow.options.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun:
		log.Warn("The order to start a run could not be sent.", "error", err)
		refused(schedule.RefusedUnhealthy)
	case err != nil:
		log.Warn("The host gave no valid answer to the order to start a run.", "error", err)
		ow.metrics.unanswered.Inc(1)
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Unanswered(s.Host, s.Task, s.Run, now) })
		h.pollNow()
	case why == platform.RefusedFenced && ow.isFenced(h, sent.token):
		ow.loseOwnership("host " + s.Host + " has seen a higher fencing token")
	case why == platform.RefusedFenced:
		log.Info("An order to start a run was meant for a former lifetime of the host.")
		refused(schedule.RefusedOther)
	case why == platform.NotRefused:
		ow.metrics.started.Inc(1)
		ow.metrics.startWait.Record(s.Waited)
		log.Info("A run was started.", "waited", s.Waited.Round(time.Millisecond))
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Started(s.Host, s.Task, s.Run, now) })
	default:
		log.Warn("The host refused to start a run.", "reason", why.String())
		ow.metrics.refused[why.String()].Inc(1)
		refused(schedulerRefusals[why])
	}
}

// recordStartCall records what is known of the lifetime of the host that got a start order.
func (ow *Owner) recordStartCall(h *hostPoller, sent *leaseCall, clockMs int64, why platform.Refusal, err error) {
	now := ow.options.Clock.Now()
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun, why.DidNothing():
		h.calls.remove(sent)
	case err != nil:
		h.calls.unanswered(sent, now)
	case !h.calls.answered(sent, time.Duration(clockMs)*time.Millisecond, now):
		ow.options.Log.Info("The clock of a host does not show which of its lifetimes got an order.", "id", sent.run.Task.Submission, "host", h.host.ID, "clock_ms", clockMs)
		h.pollNow()
	}
}

// schedulerRefusals maps the refusals of hosts to those of the scheduler.
var schedulerRefusals = map[platform.Refusal]schedule.Refusal{
	platform.RefusedNoCapacity: schedule.RefusedNoCapacity, platform.RefusedInvalidTicket: schedule.RefusedInvalidTicket,
	platform.RefusedUnhealthy: schedule.RefusedUnhealthy, platform.RefusedHostRestarted: schedule.RefusedUnhealthy,
	platform.RefusedInvalid: schedule.RefusedInvalid, platform.RefusedStaleRun: schedule.RefusedOther, platform.RefusedLeaseExpired: schedule.RefusedOther,
}

// pollNow ends a poll that the host holds open, so that the next one reports the
// current state.
func (h *hostPoller) pollNow() {
	select {
	case h.interrupt <- struct{}{}:
	default:
	}
}

func (ow *Owner) stop(ctx context.Context, s schedule.Stop) {
	h := ow.poller(s.Host)
	if h == nil {
		return // the host was removed: no run can be present there
	}
	if !ow.authority.valid() {
		ctxtime.Sleep(ctx, stopRetryInterval)
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.StopFailed(s.Host, s.Task, s.Run, now) })
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	target, token := ow.orderTarget(h)
	sentAt := ow.options.Clock.Now()
	_, why, err := ow.options.HostClient.Stop(callCtx, &target, s.Task, s.Run, token)
	log := ow.options.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err == nil && why == platform.RefusedFenced && ow.isFenced(h, token):
		ow.loseOwnership("host " + s.Host + " has seen a higher fencing token")
	case err == nil && why == platform.NotRefused:
		log.Info("A host accepted a stop order.", "reason", s.Reason)
		mayNotHaveBegun := false
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) {
			mayNotHaveBegun = c.StopAccepted(s.Host, s.Task, s.Run, sentAt, now)
		})
		if mayNotHaveBegun {
			h.pollNow() // its task waits for the report
		}
	default:
		log.Warn("The order to stop a run failed; it is sent again unless the run is gone by then.", "refusal", why.String(), "error", errText(err))
		ctxtime.Sleep(ctx, stopRetryInterval)
		ow.withScheduler(func(c *schedule.Scheduler, now time.Duration) {
			if !c.StopFailed(s.Host, s.Task, s.Run, now) && h.calls.hasUnanswered(schedule.Run{Task: s.Task, Run: s.Run}) {
				c.StopLateRun(s.Host, s.Task, s.Run)
			}
		})
	}
}
