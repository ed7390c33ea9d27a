package owner

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// callFault is what happens to a call to a fake host.
type callFault uint8

const (
	noFault callFault = iota
	// callLost: the call does not arrive.
	callLost
	// answerLost: the call is carried out, and its answer is lost.
	answerLost
	// carriedOutLate: the call gets no answer and is carried out later.
	carriedOutLate
)

// testMaxLease is the longest lease that fake hosts accept.
const testMaxLease = 10 * time.Second

var errReset = fmt.Errorf("call: %w", syscall.ECONNRESET)

// restartingHost is a fake host that restarts under its ID and address: in each lifetime its
// clock and the numbers of its results begin anew. It records what a caller must not do.
type restartingHost struct {
	HostClient
	clock *stepClock
	// startedAt is when the present lifetime began.
	startedAt time.Duration
	lifetime  int64
	// connectedTo is the lifetime to which the connection for polls leads; zero if it is
	// closed. A connection to a former lifetime is silent, or known to be broken. If relayed is
	// set, something between the two ends keeps it open, and delivers its calls to the present
	// lifetime.
	connectedTo int64
	silent      bool
	relayed     bool
	// fence is the highest fencing token that the present lifetime has seen.
	fence   int64
	fault   callFault
	lastEnd int64
	ends    []cell.Ended
	// leaseEnd is on the clock of the present lifetime. Orders that are late wait in late, and
	// are carried out by lateUntil or not at all.
	leaseEnd  time.Duration
	late      []platform.Start
	latePolls []platform.Poll
	lateUntil time.Duration
	// listed is the highest number of an end in an answer of the present lifetime.
	listed     int64
	violations []string
}

func newRestartingHost(c *stepClock) *restartingHost {
	return &restartingHost{clock: c, startedAt: c.now, lifetime: 1}
}

// restart begins another lifetime. Open connections break, or go silent.
func (h *restartingHost) restart(silent bool) {
	h.lifetime++
	h.startedAt, h.silent = h.clock.now, silent
	h.lastEnd, h.ends, h.listed, h.leaseEnd, h.fence = 0, nil, 0, 0, 0
}

// end ends a run.
func (h *restartingHost) end() {
	h.lastEnd++
	task := cell.TaskID{Submission: fmt.Sprintf("job-%d-%d", h.lifetime, h.lastEnd)}
	h.ends = append(h.ends, cell.Ended{Number: h.lastEnd, Task: task, Run: 1, Outcome: cell.OutcomeDone})
}

func (h *restartingHost) hostClock() time.Duration { return h.clock.now - h.startedAt }

func (h *restartingHost) Poll(_ context.Context, _ *cell.Host, o platform.Poll) (l cell.HostReport, unreadable int, r platform.Refusal, err error) {
	connected := h.connectedTo == h.lifetime || h.relayed && h.connectedTo != 0
	h.connectedTo = 0
	switch {
	case o.SameProcess && !connected && h.silent:
		return l, 0, 0, doesNotAnswer.err
	case o.SameProcess && !connected:
		return l, 0, 0, platform.ErrNotConnected
	case h.fault == callLost:
		return l, 0, 0, doesNotAnswer.err
	case h.fault == carriedOutLate:
		h.delay()
		h.latePolls = append(h.latePolls, o)
		return l, 0, 0, doesNotAnswer.err
	case !h.admits(o.Token):
		return l, 0, platform.RefusedFenced, nil
	}
	h.acknowledge(o.Ack)
	h.renew(o.LeaseEndMs)
	if h.fault == answerLost {
		return l, 0, 0, errReset
	}
	h.connectedTo, h.listed = h.lifetime, h.lastEnd
	return cell.HostReport{StartedMs: h.lifetime, ClockMs: h.hostClock().Milliseconds(), Ended: h.ends}, 0, 0, nil
}

func (h *restartingHost) Start(_ context.Context, _ *cell.Host, o platform.Start) (clockMs int64, r platform.Refusal, err error) {
	switch h.fault {
	case callLost:
		return 0, 0, doesNotAnswer.err
	case carriedOutLate:
		h.delay()
		h.late = append(h.late, o)
		return 0, 0, doesNotAnswer.err
	}
	if !h.admits(o.Token) {
		return h.hostClock().Milliseconds(), platform.RefusedFenced, nil
	}
	h.renew(o.LeaseEndMs)
	if h.fault == answerLost {
		return 0, 0, errReset
	}
	return h.hostClock().Milliseconds(), platform.NotRefused, nil
}

// renew extends the lease, at most to the longest one.
func (h *restartingHost) renew(endMs int64) {
	h.leaseEnd = max(h.leaseEnd, min(time.Duration(endMs)*time.Millisecond, h.hostClock()+testMaxLease))
}

// admits records the fencing token of a call, and reports whether it is carried out.
func (h *restartingHost) admits(token int64) bool {
	if token < h.fence {
		return false
	}
	h.fence = token
	return true
}

// delay records that a call will be carried out late.
func (h *restartingHost) delay() {
	if len(h.late)+len(h.latePolls) == 0 {
		h.lateUntil = h.clock.now + maxOrderDelay
	}
}

// carryOutLateOrders carries out the calls that are late.
func (h *restartingHost) carryOutLateOrders() {
	if h.clock.now <= h.lateUntil {
		for _, o := range h.late {
			if h.admits(o.Token) {
				h.renew(o.LeaseEndMs)
			}
		}
		for _, o := range h.latePolls {
			if h.admits(o.Token) {
				h.acknowledge(o.Ack)
				h.renew(o.LeaseEndMs)
			}
		}
	}
	h.late, h.latePolls = nil, nil
}

// holdsLease reports whether runs on the host may go on.
func (h *restartingHost) holdsLease() bool { return h.hostClock() < h.leaseEnd }

// acknowledge forgets the ends up to a number.
func (h *restartingHost) acknowledge(n int64) {
	for len(h.ends) > 0 && h.ends[0].Number <= n {
		if h.ends[0].Number > h.listed {
			h.violations = append(h.violations, fmt.Sprintf("end %d of lifetime %d is acknowledged before it was listed", h.ends[0].Number, h.lifetime))
		}
		h.ends = h.ends[1:]
	}
}

// restartTest is an owner of one restartingHost. What was reported is stored after each
// poll.
type restartTest struct {
	*hostTest
	host *restartingHost
}

func newRestartTest(t *hostTest) *restartTest {
	r := &restartTest{hostTest: t, host: newRestartingHost(t.clock)}
	r.options.HostClient, r.options.MaxLease = r.host, testMaxLease
	spec := testHost("h", "a")
	r.list(nil, spec)
	return r
}

// pollWith makes one poll with a fault.
func (r *restartTest) pollWith(f callFault) {
	r.clock.now += 10 * time.Millisecond
	r.host.fault = f
	r.pollOnce("h")
	r.host.fault = noFault
	if life := r.poller("h").life; life != nil {
		life.storedResult = life.seenResult
	}
}

// startWith sends a start order with a fault.
func (r *restartTest) startWith(f callFault) {
	h := r.poller("h")
	if h.life == nil {
		return
	}
	target, sent := h.spec(), h.calls.add(h.life, schedule.Run{}, r.clock.now)
	r.host.fault = f
	clockMs, refusal, err := r.host.Start(r.t.Context(), &target, platform.Start{LeaseEndMs: sent.leaseEnd.Milliseconds(), Token: sent.token})
	r.host.fault = noFault
	r.recordStartCall(h, sent, clockMs, refusal, err)
}

// knowsLifetime reports whether the present lifetime of the host has answered a poll.
func (r *restartTest) knowsLifetime() bool {
	life := r.poller("h").life
	return life != nil && life.startedMs == r.host.lifetime
}
