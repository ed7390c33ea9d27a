package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// lateFailuresThreshold is the number of consecutive failed polls after which a host counts as
// silent although the owner was late each time. An owner that is always late must not wait for
// a silent host for good.
const lateFailuresThreshold = 10

// pollFailed counts a failed or refused poll of an address. It marks the host as unreachable
// after unreachableThreshold of them, and its runs as gone once their leases have
// certainly expired.
func (ow *Owner) pollFailed(h *hostPoller, address string, now time.Duration, refusal platform.Refusal, err error) {
	h.failedAddress = address
	h.failures++
	if !h.ownerLate {
		h.unansweredPolls++
	}
	if h.failures == unreachableThreshold {
		ow.options.Log.Warn("Polls of a host fail.", "host", h.host.ID, "address", address, "refusal", refusal.String(), "error", errText(err))
		ow.withState(func() {
			h.unreachable = true
			ow.scheduler.MarkUnreachable(h.host.ID)
		})
		ow.storeRounds.request()
	}
	if h.doesNotAnswer() {
		ow.recordAllRunsGone(h, now)
	}
}

// doesNotAnswer reports whether failed polls show that the host does not answer, and not only
// that the owner is too busy to handle its answers: ends that it lists would not be known.
func (h *hostPoller) doesNotAnswer() bool {
	return !h.ownerLate && h.unansweredPolls > unreachableThreshold || h.failures >= lateFailuresThreshold
}

// runsEndBy returns the time by which the runs on a host that does not answer have
// certainly ended. The caller holds the lock.
func (ow *Owner) runsEndBy(h *hostPoller) time.Duration {
	if h.life == nil {
		return ow.earlierRunsEndBy(h)
	}
	restarted := h.isListedAsAnother(h.life.startedMs)
	return max(h.life.lease.expiry(), h.calls.leasesEndBy(ow.options.Clock.Now(), ow.options.MaxLease, restarted))
}

// isListedAsAnother reports whether the host list has shown that the host has restarted since
// a lifetime. It may have been reached by orders then, and not by polls. The caller holds the
// lock.
func (h *hostPoller) isListedAsAnother(startedMs int64) bool {
	return h.listedLifetime != 0 && startedMs != 0 && h.listedLifetime != startedMs
}

// mayHoldLongestLease reports whether an earlier owner's orders may have given the host the
// longest lease that hosts accept. The caller holds the lock.
func (h *hostPoller) mayHoldLongestLease() bool {
	return h.storedLifetime == registry.NoLifetime || h.isListedAsAnother(h.storedLifetime)
}

// recordNoAnswer informs the scheduler of a poll that the host did not answer: its process
// has gone, or it is silent.
func (ow *Owner) recordNoAnswer(h *hostPoller, sentAt, hold, now time.Duration, err error) {
	if platform.ProcessGone(err) {
		ow.recordCrash(h, sentAt, hold, now)
	} else {
		ow.markSilent(h)
	}
}

// recordCrash informs the scheduler that the process of a host has gone. A poll that
// the host may hold open breaks at that moment, unless the host had been silent before;
// one that is refused at once only shows that it has happened since the last answer.
func (ow *Owner) recordCrash(h *hostPoller, sentAt, hold, now time.Duration) {
	if now-sentAt > hold+answerMargin {
		ow.markSilent(h)
	}
	notBefore := now
	if now-sentAt < minHeldPoll {
		notBefore = h.answeredAt
	}
	ow.markCrashed(h, notBefore, now)
}

// markSilent informs the scheduler that a host left a poll without an answer.
func (ow *Owner) markSilent(h *hostPoller) {
	ow.withState(func() { ow.scheduler.MarkSilent(h.host.ID) })
}

func (ow *Owner) markCrashed(h *hostPoller, notBefore, now time.Duration) {
	crashed := false
	ow.withState(func() { crashed = ow.scheduler.MarkCrashed(h.host.ID, notBefore, now) })
	if crashed {
		ow.metrics.connectionsLost.Inc(1)
		ow.options.Log.Info("The connections of a host broke or are refused; it may have crashed.", "host", h.host.ID)
	}
}

// recordRestart records that another instance answers in place of a host.
func (ow *Owner) recordRestart(h *hostPoller, now time.Duration) {
	ow.mu.Lock()
	defer ow.unlock()
	if h.restartKnown || ow.broken {
		return // the host list still names the earlier instance
	}
	h.restartKnown, h.allRunsGone = true, true
	ow.options.Log.Info("A host has restarted as another instance; its runs are gone.", "host", h.host.ID)
	ow.scheduler.MarkUnreachable(h.host.ID)
	if ow.scheduler.MarkRestarted(h.host.ID, h.answeredAt, now) {
		ow.metrics.connectionsLost.Inc(1)
	}
	ow.requestDecision()
}

// recordAllRunsGone informs the scheduler that a host which does not answer has no runs any
// more, if all leases there have expired. That is decided and recorded under one acquisition of
// the lock: a start order gets its lease either before, or finds its run given up.
func (ow *Owner) recordAllRunsGone(h *hostPoller, now time.Duration) {
	ow.mu.Lock()
	defer ow.unlock()
	if h.allRunsGone || ow.broken || now <= ow.runsEndBy(h) {
		return
	}
	h.allRunsGone = true
	ow.scheduler.MarkUnreachable(h.host.ID)
	ow.scheduler.MarkAllRunsGone(h.host.ID, now)
	ow.options.Log.Info("A host has no runs any more; its leases have expired.", "host", h.host.ID, "bound", ow.expiryBound(h), "earlier_owners_gone", ow.earlierOwners.isGone, "after", now-ow.options.ClaimedAt)
	ow.requestDecision()
}

// removeIfGone removes a host that the platform no longer lists and that has no
// runs any more. It reports whether it did.
func (ow *Owner) removeIfGone(h *hostPoller) bool {
	ow.mu.Lock()
	defer ow.unlock()
	if h.inHostList || !h.allRunsGone || ow.broken {
		return false
	}
	if !ow.scheduler.RemoveHost(h.host.ID) {
		h.allRunsGone, h.restartKnown = false, false // the next failed poll records it again
		return false
	}
	delete(ow.hosts, h.host.ID)
	ow.removedHosts = append(ow.removedHosts, h.host.ID)
	h.cancel()
	return true
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
