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
	// stopRetryInterval is the wait before a failed stop is sent again.
	stopRetryInterval = 200 * time.Millisecond
)

// execute sends the orders of a plan, each in its own goroutine.
func (w *Owner) execute(ctx context.Context, p *schedule.Plan) {
	for _, s := range p.Starts {
		w.sendOrder(ctx, func() { w.start(ctx, s) })
	}
	for _, s := range p.Stops {
		w.sendOrder(ctx, func() { w.stop(ctx, s) })
	}
	for _, a := range p.AdviceRequests {
		w.goroutines.Add(1)
		go func() {
			defer w.goroutines.Done()
			w.requestAdvice(ctx, a)
		}()
	}
}

// sendOrder runs send in a goroutine once fewer than maxOrdersInFlight orders are
// in flight.
func (w *Owner) sendOrder(ctx context.Context, send func()) {
	select {
	case w.orderSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	w.goroutines.Add(1)
	go func() {
		defer w.goroutines.Done()
		defer func() { <-w.orderSlots }()
		send()
		w.requestDecision()
	}()
}

func (w *Owner) poller(id string) *hostPoller {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[id]
}

// withScheduler runs f on the scheduler under the owner's lock.
func (w *Owner) withScheduler(f func(s *schedule.Scheduler, now time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.scheduler, w.options.Clock.Now())
}

func (w *Owner) start(ctx context.Context, s schedule.Start) {
	h := w.poller(s.Host)
	refused := func(why schedule.Refusal) {
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Refused(s.Host, s.Task, s.Run, why, now) })
	}
	if h == nil || !w.authority.valid() {
		refused(schedule.RefusedStaleRun)
		return
	}
	order := platform.Start{
		Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		LeaseEndMs: h.lease.grant(w.options.Clock.Now()), Token: w.options.Self.Token,
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, why, err := w.options.Runners.Start(callCtx, &h.host, order)
	log := w.options.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun:
		log.Warn("A start was not sent.", "error", err)
		refused(schedule.RefusedUnhealthy)
	case err != nil:
		log.Warn("A start got no answer.", "error", err)
		w.metrics.unanswered.Inc(1)
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Unanswered(s.Host, s.Task, s.Run, now) })
		h.pollNow()
	case why == platform.RefusedFenced:
		w.loseOwnership("host " + s.Host + " has seen a higher fencing token")
	case why == platform.NotRefused:
		w.metrics.started.Inc(1)
		w.metrics.startWait.Record(s.Waited)
		log.Info("A run was started.", "waited", s.Waited.Round(time.Millisecond))
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.Started(s.Host, s.Task, s.Run, now) })
	default:
		log.Warn("A start was refused.", "reason", why.String())
		w.metrics.refused[why.String()].Inc(1)
		refused(refusals[why])
	}
}

var refusals = map[platform.Refusal]schedule.Refusal{
	platform.RefusedNoCapacity: schedule.RefusedRoom, platform.RefusedInvalidTicket: schedule.RefusedTicket,
	platform.RefusedUnhealthy: schedule.RefusedUnhealthy, platform.RefusedHostRestarted: schedule.RefusedUnhealthy,
	platform.RefusedInvalid: schedule.RefusedInvalid, platform.RefusedStaleRun: schedule.RefusedStaleRun, platform.RefusedLeaseExpired: schedule.RefusedStaleRun,
}

// pollNow ends a poll that the host holds open, so that the next one reports the
// current state.
func (h *hostPoller) pollNow() {
	select {
	case h.interrupt <- struct{}{}:
	default:
	}
}

func (w *Owner) stop(ctx context.Context, s schedule.Stop) {
	h := w.poller(s.Host)
	if h == nil || !w.authority.valid() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, why, err := w.options.Runners.Stop(callCtx, &h.host, s.Task, s.Run, w.options.Self.Token)
	log := w.options.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err == nil && why == platform.RefusedFenced:
		w.loseOwnership("host " + s.Host + " has seen a higher fencing token")
	case err == nil && why == platform.NotRefused:
		log.Info("A host accepted a stop order.", "reason", s.Reason)
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.StopAccepted(s.Host, s.Task, s.Run, now) })
	default:
		log.Warn("A stop failed and is sent again.", "refusal", why.String(), "error", errText(err))
		ctxtime.Sleep(ctx, stopRetryInterval)
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.StopFailed(s.Host, s.Task, s.Run, now) })
	}
}

func (w *Owner) requestAdvice(ctx context.Context, a schedule.AdviceRequest) {
	tickets, err := w.options.Advisor.Ask(ctx, a.Group, a.Hosts, a.Duration, a.Priority)
	if err != nil {
		w.options.Log.Warn("All attempts to call the advice service failed.", "id", a.Group.Submission, "step", a.Group.Step, "error", err)
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.AdviceFailed(a.Group, now) })
		ctxtime.Sleep(ctx, maxDecisionInterval)
	} else {
		w.metrics.adviceAnswers.Inc(1)
		w.options.Log.Info("The advice service answered.", "id", a.Group.Submission, "step", a.Group.Step, "named", len(a.Hosts), "approved", len(tickets))
		w.withScheduler(func(c *schedule.Scheduler, now time.Duration) { c.AdviceReceived(a.Group, a.Hosts, tickets, now) })
	}
	w.requestDecision()
}
