package owner

import (
	"context"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// networkFault is what happens to calls to hosts for a time.
type networkFault uint8

const (
	_ networkFault = iota
	// callCut: calls do not arrive, and get no answer.
	callCut
	// connectionRefused: calls are certainly not sent.
	connectionRefused
	// answerCut: calls are carried out, and their answers are lost.
	answerCut
	// connectionReset: calls are carried out, and their connections break.
	connectionReset
	// deliveredLate: calls get no answer, and are carried out late.
	deliveredLate
	// answerSlow: answers take a time; the caller's time-out may pass first.
	answerSlow
	// answerHandledLate: the caller handles answers late, after its time-out too.
	answerHandledLate
	// unhealthy: hosts refuse calls.
	unhealthy
	lastFault = unhealthy
)

// callKind is the kind of the calls that a fault concerns.
type callKind uint8

const (
	anyCall callKind = iota
	startCalls
	pollCalls
)

// pollCheckInterval is the time between two checks whether a held poll is to be answered.
const pollCheckInterval = 10 * time.Millisecond

// networkAnswer is what a host answers to a call.
type networkAnswer struct {
	refusal platform.Refusal
	clockMs int64
	report  cell.HostReport
}

// simulatedClient is the client of hosts of one process, with the faults of the plan.
type simulatedClient struct {
	s *simulation
	p *process
	// connected holds the lifetimes to which the connections for polls lead.
	connected map[*platform.HostConnection]int64
}

// call sends a call; token is the fencing token of an order. carryOut is called under the lock of the simulation; answer waits for the
// answer of a host that has carried out the call.
func (c *simulatedClient) call(ctx context.Context, kind callKind, token int64, id string, carryOut func(*protocolHost) networkAnswer, answer func(context.Context, *protocolHost, networkAnswer) (networkAnswer, error)) (networkAnswer, error) {
	if c.p.pause(); ctx.Err() != nil {
		return networkAnswer{}, verdict.Wrap(ctx.Err(), verdict.DidNotRun, "not-sent")
	}
	h, index := c.s.host(id)
	f := c.s.faultOf(c.p, index, kind)
	if !ordersReachLaterLifetimes && c.isForgottenFence(h, token) {
		f.kind = callCut
	}
	switch f.kind {
	case callCut:
		return networkAnswer{}, c.noAnswer(ctx)
	case connectionRefused:
		return networkAnswer{}, verdict.Wrap(syscall.ECONNREFUSED, verdict.DidNotRun, "connect-failed")
	case deliveredLate:
		c.s.deliverLate(h, f.delay, carryOut)
		return networkAnswer{}, c.noAnswer(ctx)
	case unhealthy:
		return networkAnswer{refusal: platform.RefusedUnhealthy}, nil
	}
	a, up := c.s.carryOut(h, carryOut)
	if !up {
		return networkAnswer{}, verdict.Wrap(syscall.ECONNREFUSED, verdict.DidNotRun, "connect-failed")
	}
	switch f.kind {
	case answerCut:
		return networkAnswer{}, c.noAnswer(ctx)
	case connectionReset:
		return networkAnswer{}, errReset
	}
	a, err := answer(ctx, h, a)
	if c.s.faultOf(c.p, index, kind).kind == callCut {
		return networkAnswer{}, c.noAnswer(ctx)
	}
	switch f.kind {
	case answerSlow:
		if err := c.wait(ctx, f.delay); err != nil {
			return networkAnswer{}, err
		}
	case answerHandledLate:
		time.Sleep(f.delay)
	default:
		time.Sleep(time.Millisecond)
	}
	c.p.pause()
	return a, err
}

// isForgottenFence reports whether a host has forgotten, with a restart after the claim of a later
// owner, that it must refuse an order of this process, which has not heard of the restart: the
// fencing token of the order is zero for a poll, and higher than that of the term otherwise.
func (c *simulatedClient) isForgottenFence(h *protocolHost, token int64) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.p.succeededAt != 0 && h.bornAt >= c.p.succeededAt && h.fence <= c.p.self.Token && token == c.p.self.Token
}

// noAnswer waits for the caller's time-out.
func (c *simulatedClient) noAnswer(ctx context.Context) error {
	<-ctx.Done()
	c.p.pause()
	return ctx.Err()
}

// wait waits for a time or the caller's time-out.
func (c *simulatedClient) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		c.p.pause()
		return ctx.Err()
	}
}

// order sends an order, which is answered at once.
func (c *simulatedClient) order(ctx context.Context, token int64, id string, carryOut func(*protocolHost) platform.Refusal) (int64, platform.Refusal, error) {
	a, err := c.call(ctx, startCalls, token, id, func(h *protocolHost) networkAnswer {
		return networkAnswer{refusal: carryOut(h), clockMs: h.clock(c.s.now()).Milliseconds()}
	}, func(_ context.Context, _ *protocolHost, a networkAnswer) (networkAnswer, error) { return a, nil })
	return a.clockMs, a.refusal, err
}

func (c *simulatedClient) Start(ctx context.Context, h *cell.Host, o platform.Start) (int64, platform.Refusal, error) {
	return c.order(ctx, o.Token, h.ID, func(h *protocolHost) platform.Refusal {
		r := h.start(o, c.s.durations[o.Task.Submission], c.s.now())
		if r != platform.NotRefused {
			c.s.ledger.note("%s: refuses %s run %d of owner %d: %s", h.id, o.Task, o.Run, c.p.index, r)
		}
		return r
	})
}

func (c *simulatedClient) Stop(ctx context.Context, h *cell.Host, task cell.TaskID, run, token int64) (int64, platform.Refusal, error) {
	return c.order(ctx, token, h.ID, func(h *protocolHost) platform.Refusal { return h.stop(task, run, token, c.s.now()) })
}

func (c *simulatedClient) Poll(ctx context.Context, h *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	if !c.mayPoll(h.ID, o) {
		return cell.HostReport{}, 0, 0, verdict.Wrap(platform.ErrNotConnected, verdict.DidNotRun, "not-connected")
	}
	a, err := c.call(ctx, pollCalls, 0, h.ID, func(h *protocolHost) networkAnswer {
		return networkAnswer{refusal: h.hold(o, c.s.now())}
	}, func(ctx context.Context, h *protocolHost, a networkAnswer) (networkAnswer, error) {
		if a.refusal != platform.NotRefused {
			return a, nil
		}
		return c.awaitReport(ctx, h, o)
	})
	if err == nil && a.refusal == platform.NotRefused {
		c.s.mu.Lock()
		c.connected[o.Over] = a.report.StartedMs
		c.s.mu.Unlock()
	}
	return a.report, 0, a.refusal, err
}

// mayPoll reports whether a poll can be sent: one for a lifetime only needs an open connection.
// It ends the use of that connection until the poll is answered.
func (c *simulatedClient) mayPoll(id string, o platform.Poll) bool {
	h, _ := c.s.host(id)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	lifetime := c.connected[o.Over]
	delete(c.connected, o.Over)
	return !o.SameProcess || h.up && lifetime == h.lifetime()
}

// awaitReport holds a poll until a run has ended or its time is over.
func (c *simulatedClient) awaitReport(ctx context.Context, h *protocolHost, o platform.Poll) (networkAnswer, error) {
	c.s.mu.Lock()
	lifetime := h.bornAt
	c.s.mu.Unlock()
	for until := c.s.now() + o.Wait; ; {
		c.s.mu.Lock()
		if !h.up || h.bornAt != lifetime {
			c.s.mu.Unlock()
			return networkAnswer{}, errReset
		}
		h.advance(c.s.now())
		if len(h.ended) > 0 || c.s.now() >= until {
			report := h.report(c.s.now())
			c.s.mu.Unlock()
			return networkAnswer{report: report}, nil
		}
		c.s.mu.Unlock()
		if err := c.wait(ctx, pollCheckInterval); err != nil {
			return networkAnswer{}, err
		}
	}
}
