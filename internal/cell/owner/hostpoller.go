package owner

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// pollHoldTimeout is how long a host may hold a poll open until a run ends. It
	// bounds the time between two renewals of the lease.
	pollHoldTimeout = time.Second
	// pollTimeoutMargin is added to the hold time of a poll to give its timeout.
	pollTimeoutMargin = 600 * time.Millisecond
	// unreachableThreshold is the number of consecutive failed or refused polls after
	// which a host gets no new work.
	unreachableThreshold = 2
	// pollRetryInterval is the wait after a failed poll, and between checks of the
	// authority while it is not valid.
	pollRetryInterval = 100 * time.Millisecond
	// maxOwnDelay is how long after its timeout a failed poll has ended if this process is not
	// late itself. A healthy host's answer takes fewer steps than would use up the rest of the
	// timeout if each waited for so long.
	maxOwnDelay = 100 * time.Millisecond
	// minHeldPoll is the least duration of a failed poll from which the host has held it
	// open.
	minHeldPoll = 20 * time.Millisecond
	// answerMargin is how long after the hold time of a poll a host that can be reached
	// has answered.
	answerMargin = 200 * time.Millisecond
	// storeWaitTimeout is how long a poller waits for the results of a poll to be
	// stored. While they cannot be stored it is the interval between polls.
	storeWaitTimeout = 300 * time.Millisecond
)

// errUnknownLifetime means that a report lacks the start time of its host.
var errUnknownLifetime = eris.New("the report lacks the start time of the host")

// hostPoller polls one host and holds what is known about it.
type hostPoller struct {
	// host is the host as it was when it was added. listed is what the platform's list
	// says, or the log if it is not listed.
	host, listed cell.Host
	// address is where the host answered last, or was when it was stored. It is guarded by the
	// owner's lock, as is listed.
	address string
	// version counts the changes of the host's address and lifetime, and storedVersion is the one
	// in the log; see requireRecord. Both are guarded by the owner's lock.
	version, storedVersion int
	// failedAddress is where the last poll failed; empty if it did not.
	failedAddress string
	// life is the lifetime of the host that answered last; nil before its first answer. It
	// is guarded by the owner's lock.
	life *lifetime
	// calls are the calls that a later lifetime may carry out. The owner keeps them by the host's
	// ID, since they outlast the poller.
	calls *leaseCalls
	// inTouch is set while the last poll was answered by that lifetime. Other polls may
	// reach a later one, so they acknowledge nothing and renew no lease.
	inTouch    bool
	connection *platform.HostConnection
	// interrupt ends a poll that the host holds open.
	interrupt chan struct{}
	cancel    context.CancelFunc
	// runsKnown is set once the host has reported all its runs. allRunsGone is set once
	// every lease there has certainly expired or the host has restarted, until it
	// reports its runs again. Both are guarded by the owner's lock.
	runsKnown, allRunsGone bool
	// restartKnown is set once another instance has answered in place of the host, until
	// the host reports its runs again. It is guarded by the owner's lock.
	restartKnown bool
	// inHostList is set while the platform lists the host. listedLifetime is the lifetime that
	// the list showed last, zero if none; it stays when the entry expires.
	inHostList     bool
	listedLifetime int64
	// closedByPreviousOwner is set if the previous owner had closed the host to new
	// runs, so that only the runs it recorded may be present, or had not stored it, so
	// that none may be.
	closedByPreviousOwner bool
	// stored is set once the log has a record of the host, storedClosed if the host is
	// closed there.
	stored, storedClosed bool
	// storedLifetime is the lifetime in that record; see registry.Host.
	storedLifetime int64
	// unstorable is set while the record that closes the host is too large for the log.
	unstorable bool
	// unreachable is set after unreachableThreshold failed or refused polls, until one
	// succeeds.
	unreachable bool
	// failures counts consecutive failed or refused polls, except refusals because
	// of a fencing token or a restart.
	failures int
	// unansweredPolls counts those of them that show that the host does not answer: the owner
	// was not late itself when they ended, which is set by ownerLate for the last poll.
	unansweredPolls int
	ownerLate       bool
	// unreadable is the number of rows in the last report that cannot be decoded.
	unreadable int
	// answeredAt is when the host last answered a poll.
	answeredAt time.Duration
}

// pollLoop polls a host until ctx ends, the ownership is lost, or the host is
// removed.
func (ow *Owner) pollLoop(ctx context.Context, h *hostPoller) {
	defer h.connection.Close()
	for ctx.Err() == nil {
		select {
		case <-ow.ownershipLost:
			return
		default:
		}
		sentAt := ow.options.Clock.Now()
		if !ow.authority.validAt(sentAt) {
			ctxtime.Sleep(ctx, pollRetryInterval)
			continue
		}
		if !ow.poll(ctx, h, sentAt) && ow.removeIfGone(h) {
			return
		}
	}
}

// poll sends one poll and applies its answer. The lease that it renews counts from sentAt, at
// which the authority was valid. It reports whether the host sent a report of its runs, or the
// poll was interrupted.
func (ow *Owner) poll(ctx context.Context, h *hostPoller, sentAt time.Duration) bool {
	target, token := ow.pollTarget(h)
	o := platform.Poll{Token: token, Over: h.connection}
	var renewal *leaseCall
	if h.inTouch {
		// The lease of a host that does not answer must not be renewed: it is unknown
		// whether such a poll arrived, so the lease could never be taken as expired.
		h.life.bind(&o, sentAt)
		renewal = h.calls.addCall(&leaseCall{life: h.life, token: token, leaseEnd: time.Duration(o.LeaseEndMs) * time.Millisecond})
	}
	h.inTouch = false
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+pollTimeoutMargin)
	endWatch := h.cancelOnInterrupt(ctx, cancel)
	l, unreadable, refusal, err := ow.options.HostClient.Poll(callCtx, &target, o)
	if endWatch() && err == nil {
		h.pollNow() // the answer may be older than the request for another poll
	}
	interrupted := callCtx.Err() == context.Canceled && ctx.Err() == nil
	cancel()
	now := ow.options.Clock.Now()
	h.ownerLate = now-sentAt > o.Wait+pollTimeoutMargin+maxOwnDelay
	if renewal != nil {
		ow.recordRenewal(h, renewal, l.StartedMs, refusal, err)
	}
	switch {
	case errors.Is(err, platform.ErrNotConnected):
		return true // the next poll may reach another lifetime
	case err == nil && refusal == platform.RefusedFenced && ow.isFenced(h, token):
		ow.loseOwnership("host " + h.host.ID + " has seen a higher fencing token")
		return false
	case err == nil && refusal == platform.RefusedHostRestarted && ow.showsRestart(h, target.Address):
		ow.recordRestart(h, now)
		ctxtime.Sleep(ctx, pollRetryInterval)
		return false
	case err != nil || refusal != platform.NotRefused:
		if interrupted {
			return true // the next poll renews no lease, so that the host answers it at once
		}
		if err != nil && !ow.isElsewhere(h, target.Address) {
			ow.recordNoAnswer(h, sentAt, o.Wait, now, err)
		}
		ow.pollFailed(h, target.Address, now, refusal, err)
		ctxtime.Sleep(ctx, pollRetryInterval)
		return false
	case l.StartedMs == 0:
		err = errUnknownLifetime
		fallthrough
	case !ow.settleAddress(h, target.Address, l.StartedMs):
		ow.pollFailed(h, target.Address, now, refusal, err)
		ctxtime.Sleep(ctx, pollRetryInterval)
		return false
	}
	if unreadable > 0 && unreadable != h.unreadable {
		ow.options.Log.Warn("A host reports runs that cannot be decoded.", "host", h.host.ID, "count", unreadable)
	}
	h.unreadable = unreadable
	h.failures, h.unansweredPolls, h.failedAddress, h.answeredAt, h.inTouch = 0, 0, "", now, true
	ow.applyReport(ctx, h, sentAt, now, l, o)
	return true
}

// recordRenewal records what is known of the lifetime that got a poll which renews the lease of
// another one. answeredBy is the lifetime in its answer, zero without one.
func (ow *Owner) recordRenewal(h *hostPoller, renewal *leaseCall, answeredBy int64, refusal platform.Refusal, err error) {
	if err != nil || refusal != platform.NotRefused {
		answeredBy = 0
	}
	notCarriedOut := err != nil && verdict.Of(err) == verdict.DidNotRun || refusal.DidNothing()
	h.calls.pollEnded(renewal, answeredBy, notCarriedOut, ow.options.Clock.Now())
	if answeredBy != 0 && answeredBy != renewal.life.startedMs {
		ow.metrics.misdelivered.Inc(1)
		ow.options.Log.Warn("A later lifetime of a host has carried out a poll for a former one.", "host", h.host.ID, "lifetime", renewal.life.startedMs, "answered_by", answeredBy)
	}
}

// cancelOnInterrupt cancels a poll once another one is requested. The returned function ends
// that, and reports whether the poll was cancelled. Without it, a later request could end in
// a poll that is over.
func (h *hostPoller) cancelOnInterrupt(ctx context.Context, cancel context.CancelFunc) (end func() bool) {
	done, cancelled := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-h.interrupt:
			cancel()
			cancelled <- true
		case <-done:
			cancelled <- false
		case <-ctx.Done():
			cancelled <- false
		}
	}()
	return func() bool {
		close(done)
		return <-cancelled
	}
}

// applyReport passes a host's report to the scheduler and waits until the results
// in it are stored. o is the poll that the host has answered with it.
func (ow *Owner) applyReport(ctx context.Context, h *hostPoller, sentAt, now time.Duration, l cell.HostReport, o platform.Poll) {
	life := h.life
	if life == nil || life.startedMs != l.StartedMs {
		life = &lifetime{startedMs: l.StartedMs, heardAsRestart: life != nil, lease: lease{duration: ow.leaseDuration()}}
	} else {
		h.calls.settle(sentAt, now)
		life.ackedResult = max(life.ackedResult, o.Ack)
	}
	life.lease.observe(l.ClockMs, sentAt, now)
	if life.firstToken != 0 && o.Token > life.firstToken {
		// From here on, calls to former lifetimes are refused.
		life.lease.limitInherited(ow.options.MaxLease)
	}
	if n := life.forgottenEnds(l.Ended); n > 0 {
		ow.metrics.forgottenEnds.Inc(n)
		ow.options.Log.Warn("A host has forgotten ends that it had not listed.", "host", h.host.ID, "listed", life.seenResult, "forgotten", n)
	}
	highestResult := life.seenResult
	for _, e := range l.Ended {
		highestResult = max(highestResult, e.Number)
	}
	ow.withState(func() {
		former := h.life
		h.life = life
		ow.scheduler.ApplyReport(h.host.ID, sentAt, now, l)
		if former != life {
			life.firstToken = o.Token
			ow.inheritCalls(h, former == nil, now)
			h.calls.fence.heardOf(life.startedMs)
			if !h.recordAllows(life, former == nil) {
				ow.requireRecord(h)
			}
		}
		// Ends that a partial report does not list may be those of earlier owners' runs.
		h.runsKnown = h.runsKnown || !l.Partial || ow.reconciled.Load()
		h.allRunsGone, h.restartKnown, h.unreachable = false, false, false
	})
	ow.requestDecision()
	for _, e := range l.Ended {
		if e.Number > life.seenResult {
			ow.metrics.ended[e.Outcome].Inc(1)
			ow.options.Log.Info("A run has ended.", "id", e.Task.Submission, "task", e.Task.String(), "run", e.Run, "host", h.host.ID, "outcome", e.Outcome.String())
		}
	}
	if highestResult == life.seenResult && highestResult == life.storedResult {
		return
	}
	life.seenResult = highestResult
	storeCtx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	if ow.storeRounds.waitStored(storeCtx) {
		life.storedResult = highestResult
	}
}

// inheritCalls takes into account that a lifetime of a host which has just been heard of may
// carry out the calls that are left from former ones, also from before the host was
// removed. first is set if this owner had heard of none before. Then orders of an earlier
// owner, for the lifetime that it has stored, may have given the longest lease to this one;
// they are refused from now on. The caller holds the lock.
func (ow *Owner) inheritCalls(h *hostPoller, first bool, now time.Duration) {
	clock := h.life.lease.hostClock
	h.life.lease.inheritedEnd = h.calls.latestLeaseEnd(clock, now, ow.options.MaxLease)
	if first && h.stored && h.storedLifetime != 0 && h.storedLifetime != h.life.startedMs {
		h.life.lease.inheritedEnd = max(h.life.lease.inheritedEnd, clock+ow.options.MaxLease)
	}
	for _, r := range h.calls.unansweredRuns() {
		ow.scheduler.StopLateRun(h.host.ID, r.Task, r.Run)
	}
}
