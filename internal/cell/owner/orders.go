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
	// orderAnswer bounds the wait for the answer to an order.
	orderAnswer = 700 * time.Millisecond
	// stopAgain is the wait before an unanswered stop is sent again.
	stopAgain = 200 * time.Millisecond
)

// carryOut sends the orders of a plan, each in its own goroutine.
func (w *Owner) carryOut(ctx context.Context, p *schedule.Plan) {
	for _, s := range p.Starts {
		w.order(ctx, func() { w.start(ctx, s) })
	}
	for _, s := range p.Stops {
		w.order(ctx, func() { w.stop(ctx, s) })
	}
	for _, a := range p.Asks {
		w.running.Add(1)
		go func() {
			defer w.running.Done()
			w.ask(ctx, a)
		}()
	}
}

// order runs an order, with a bound on those that are on their way.
func (w *Owner) order(ctx context.Context, send func()) {
	select {
	case w.orders <- struct{}{}:
	case <-ctx.Done():
		return
	}
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		defer func() { <-w.orders }()
		send()
		w.kick()
	}()
}

func (w *Owner) loop(id string) *hostLoop {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[id]
}

// scheduled runs f on the scheduler.
func (w *Owner) scheduled(f func(s *schedule.Scheduler, now time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.scheduler, w.o.Clock.Now())
}

func (w *Owner) start(ctx context.Context, s schedule.Start) {
	h := w.loop(s.Host)
	refused := func(why schedule.Refusal) {
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.Refused(s.Host, s.Task, s.Run, why, now) })
	}
	if h == nil || !w.authority.holds() {
		refused(schedule.RefusedRun)
		return
	}
	order := platform.Start{
		Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		Until: h.lease.grant(w.o.Clock.Now()), Token: w.o.Self.Token,
	}
	callCtx, cancel := context.WithTimeout(ctx, orderAnswer)
	defer cancel()
	_, why, err := w.o.Runners.Start(callCtx, &h.host, order)
	log := w.o.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun:
		log.Warn("A start was not sent.", "error", err)
		refused(schedule.RefusedUnhealthy)
	case err != nil:
		log.Warn("A start got no answer.", "error", err)
		w.metrics.unanswered.Inc(1)
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.Unanswered(s.Host, s.Task, s.Run, now) })
		h.lookNow()
	case why == platform.RefusedFenced:
		w.depose("host " + s.Host + " knows a higher token")
	case why == platform.NotRefused:
		w.metrics.started.Inc(1)
		w.metrics.waited.Record(s.Waited)
		log.Info("A run is started.", "waited", s.Waited.Round(time.Millisecond))
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.Started(s.Host, s.Task, s.Run, now) })
	default:
		log.Warn("A start was refused.", "reason", why.String())
		w.metrics.refused[why.String()].Inc(1)
		refused(refusals[why])
	}
}

var refusals = map[platform.Refusal]schedule.Refusal{
	platform.RefusedRoom: schedule.RefusedRoom, platform.RefusedTicket: schedule.RefusedTicket,
	platform.RefusedUnhealthy: schedule.RefusedUnhealthy, platform.RefusedLifetime: schedule.RefusedUnhealthy,
	platform.RefusedInvalid: schedule.RefusedInvalid, platform.RefusedOld: schedule.RefusedRun, platform.RefusedLate: schedule.RefusedRun,
}

// lookNow ends a look that waits, so that the next one shows the present.
func (h *hostLoop) lookNow() {
	select {
	case h.poke <- struct{}{}:
	default:
	}
}

func (w *Owner) stop(ctx context.Context, s schedule.Stop) {
	h := w.loop(s.Host)
	if h == nil || !w.authority.holds() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderAnswer)
	defer cancel()
	_, why, err := w.o.Runners.Stop(callCtx, &h.host, s.Task, s.Run, w.o.Self.Token)
	log := w.o.Log.With("id", s.Task.Submission, "task", s.Task.String(), "run", s.Run, "host", s.Host)
	switch {
	case err == nil && why == platform.RefusedFenced:
		w.depose("host " + s.Host + " knows a higher token")
	case err == nil && why == platform.NotRefused:
		log.Info("A run is stopped.", "reason", s.Reason)
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.StopAnswered(s.Host, s.Task, s.Run, now) })
	default:
		log.Warn("A stop is not carried out and is sent again.", "refusal", why.String(), "error", errText(err))
		ctxtime.Sleep(ctx, stopAgain)
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.StopUnanswered(s.Host, s.Task, s.Run, now) })
	}
}

func (w *Owner) ask(ctx context.Context, a schedule.Ask) {
	tickets, err := w.o.Advisor.Ask(ctx, a.Group, a.Hosts, a.Cost, a.Priority)
	if err != nil {
		w.o.Log.Warn("No advice was given.", "id", a.Group.Submission, "step", a.Group.Step, "error", err)
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.AdviceFailed(a.Group, now) })
		ctxtime.Sleep(ctx, tick)
	} else {
		w.metrics.advised.Inc(1)
		w.o.Log.Info("Advice was given.", "id", a.Group.Submission, "step", a.Group.Step, "named", len(a.Hosts), "approved", len(tickets))
		w.scheduled(func(c *schedule.Scheduler, now time.Duration) { c.Advised(a.Group, a.Hosts, tickets, now) })
	}
	w.kick()
}
