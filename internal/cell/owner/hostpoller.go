package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
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
	// minHeldPoll is the least duration of a failed poll from which the host has held it
	// open.
	minHeldPoll = 20 * time.Millisecond
	// storeWaitTimeout is how long a poller waits for the results of a poll to be
	// stored. While they cannot be stored it is the interval between polls.
	storeWaitTimeout = 300 * time.Millisecond
)

// hostPoller polls one host and holds what is known about it.
type hostPoller struct {
	host  cell.Host
	lease lease
	// interrupt ends a poll that the host holds open.
	interrupt chan struct{}
	cancel    context.CancelFunc
	// runsKnown is set once the host has reported its runs. allRunsGone is set once
	// every lease there has certainly expired or the host has restarted, until it
	// reports its runs again. Both are guarded by the owner's lock.
	runsKnown, allRunsGone bool
	// inHostList is set while the platform lists the host.
	inHostList bool
	// closedByPreviousOwner is set if the previous owner had closed the host to new
	// runs, so that only the runs it recorded may be present. storedClosed is the
	// state that is stored in the log.
	closedByPreviousOwner, storedClosed bool
	// unreachable is set after unreachableThreshold failed or refused polls, until one
	// succeeds.
	unreachable bool
	// failures counts consecutive failed or refused polls, except refusals because
	// of a fencing token or a restart. After an interrupted poll it is at least one.
	// While it is not zero, polls do not renew the lease.
	failures int
	// answeredAt is when the host last answered a poll.
	answeredAt time.Duration
	// startedMs is the start time of the host in Unix milliseconds.
	startedMs int64
	// storedResult and seenResult are the highest numbers of results that are
	// stored and that were reported.
	storedResult int64
	seenResult   int64
}

// SetHosts adds the hosts that may have runs (stored), and replaces the set of
// hosts that the platform lists. Every listed host must be stored in the log
// before.
func (ow *Owner) SetHosts(ctx context.Context, stored map[string]registry.Host, listed []cell.Host) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, h := range ow.hosts {
		h.inHostList = false
	}
	list := make([]cell.Host, 0, len(stored))
	for _, h := range stored {
		list = append(list, h.Spec)
	}
	slices.SortFunc(list, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	ow.scheduler.SetHosts(list)
	for _, spec := range list {
		h := ow.hosts[spec.ID]
		if h == nil {
			h = &hostPoller{host: spec, interrupt: make(chan struct{}, 1), lease: lease{duration: ow.leaseDuration()}}
			ow.hosts[spec.ID] = h
			ow.restoreClosed(h, stored[spec.ID])
			var pollCtx context.Context
			pollCtx, h.cancel = context.WithCancel(ctx)
			ow.goroutines.Add(1)
			go func() {
				defer ow.goroutines.Done()
				ow.pollLoop(pollCtx, h)
			}()
		}
	}
	for _, spec := range listed {
		if h := ow.hosts[spec.ID]; h != nil {
			h.inHostList, h.host.Leaving = true, spec.Leaving
		}
	}
	ow.scheduler.SetListedHosts(listed)
	ow.requestDecision()
}

// restoreClosed takes over what the previous owner stored about a host that it had
// closed to new runs.
func (ow *Owner) restoreClosed(h *hostPoller, stored registry.Host) {
	if !stored.Closed {
		return
	}
	h.closedByPreviousOwner, h.storedClosed = true, true
	ow.scheduler.CloseHost(h.host.ID)
	for _, r := range stored.Runs {
		ow.scheduler.AssumeRunPresent(h.host.ID, schedule.Run{Task: r.Task, Run: r.Run}, ow.options.Clock.Now())
	}
}

// hostRecords returns the records of hosts that are to be closed or opened to new
// runs. A host is closed at once, but opened only once its record is stored.
func (ow *Owner) hostRecords() (records []platform.Record, changed []*hostPoller) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, id := range ow.removedHosts {
		records = append(records, registry.HostDeletionRecord(id))
	}
	ow.removedHosts = nil
	for _, h := range ow.hosts {
		closed := h.host.Leaving || !h.inHostList || h.allRunsGone || h.unreachable
		// The runs of earlier owners on a host that has never answered are unknown. A
		// successor would assume that a closed host has only the recorded runs.
		known := h.runsKnown || h.allRunsGone || ow.reconciled.Load()
		if closed == h.storedClosed || closed && !known || !closed && !h.runsKnown {
			continue
		}
		rec := registry.Host{Spec: h.host, Closed: closed}
		if closed {
			for _, r := range ow.scheduler.CloseHost(h.host.ID) {
				rec.Runs = append(rec.Runs, registry.Run{Task: r.Task, Run: r.Run})
			}
		}
		records = append(records, registry.HostRecord(rec))
		changed = append(changed, h)
	}
	return records, changed
}

// hostRecordsStored is called once the records of changed hosts are stored.
func (ow *Owner) hostRecordsStored(changed []*hostPoller) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, h := range changed {
		h.storedClosed = !h.storedClosed
		if !h.storedClosed {
			ow.scheduler.OpenHost(h.host.ID)
		}
	}
}

// PolledHosts returns the IDs of the hosts that are polled.
func (ow *Owner) PolledHosts() map[string]bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	known := make(map[string]bool, len(ow.hosts))
	for id := range ow.hosts {
		known[id] = true
	}
	return known
}

// pollLoop polls a host until ctx ends, the ownership is lost, or the host is
// removed.
func (ow *Owner) pollLoop(ctx context.Context, h *hostPoller) {
	for ctx.Err() == nil {
		select {
		case <-ow.ownershipLost:
			return
		default:
		}
		if !ow.authority.valid() {
			ctxtime.Sleep(ctx, pollRetryInterval)
			continue
		}
		if !ow.poll(ctx, h) && ow.removeIfGone(h) {
			return
		}
	}
}

// poll sends one poll and applies its answer. It reports whether the host
// sent a report of its runs, or the poll was interrupted.
func (ow *Owner) poll(ctx context.Context, h *hostPoller) bool {
	sentAt := ow.options.Clock.Now()
	o := platform.Poll{Token: ow.options.Self.Token, Ack: h.storedResult}
	if h.failures == 0 {
		// The lease of a host that does not answer must not be renewed: it is unknown
		// whether such a poll arrived, so the lease could never be taken as expired.
		o.LeaseEndMs = h.lease.grant(sentAt)
	}
	if o.LeaseEndMs > 0 {
		o.Wait = pollHoldTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+pollTimeoutMargin)
	done := make(chan struct{})
	go func() {
		select {
		case <-h.interrupt:
			cancel()
		case <-done:
		}
	}()
	l, unreadable, refusal, err := ow.options.HostClient.Poll(callCtx, &h.host, o)
	close(done)
	interrupted := callCtx.Err() == context.Canceled && ctx.Err() == nil
	cancel()
	now := ow.options.Clock.Now()
	switch {
	case err == nil && refusal == platform.RefusedFenced:
		ow.loseOwnership("host " + h.host.ID + " has seen a higher fencing token")
		return false
	case err == nil && refusal == platform.RefusedHostRestarted:
		ow.recordRestart(h, now)
		ctxtime.Sleep(ctx, pollRetryInterval)
		return false
	case err != nil || refusal != platform.NotRefused:
		if interrupted {
			h.failures = max(h.failures, 1) // so that the next poll renews no lease and the host answers it at once
			return true
		}
		if err != nil && platform.ProcessGone(err) {
			ow.recordCrash(h, sentAt, now)
		}
		ow.pollFailed(h, now, refusal, err)
		ctxtime.Sleep(ctx, pollRetryInterval)
		return false
	}
	if unreadable > 0 {
		ow.options.Log.Warn("A host reports runs that cannot be decoded.", "host", h.host.ID, "count", unreadable)
	}
	h.failures, h.answeredAt = 0, now
	ow.applyReport(ctx, h, sentAt, now, l)
	return true
}

// applyReport passes a host's report to the scheduler and waits until the results
// in it are stored.
func (ow *Owner) applyReport(ctx context.Context, h *hostPoller, sentAt, now time.Duration, l cell.HostReport) {
	if h.startedMs != 0 && l.StartedMs != 0 && l.StartedMs != h.startedMs {
		h.storedResult, h.seenResult = 0, 0
		h.lease.reset()
	}
	h.startedMs = l.StartedMs
	h.lease.observe(l.ClockMs, now)
	highestResult := h.seenResult
	for _, e := range l.Ended {
		highestResult = max(highestResult, e.Number)
	}
	ow.mu.Lock()
	ow.scheduler.ApplyReport(h.host.ID, sentAt, now, l)
	h.runsKnown, h.allRunsGone, h.unreachable = true, false, false
	ow.mu.Unlock()
	ow.requestDecision()
	for _, e := range l.Ended {
		if e.Number > h.seenResult {
			ow.metrics.ended[e.Outcome].Inc(1)
			ow.options.Log.Info("A run has ended.", "id", e.Task.Submission, "task", e.Task.String(), "run", e.Run, "host", h.host.ID, "outcome", e.Outcome.String())
		}
	}
	if highestResult == h.seenResult && highestResult == h.storedResult {
		return
	}
	h.seenResult = highestResult
	storeCtx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	if ow.storeRounds.waitStored(storeCtx) {
		h.storedResult = highestResult
	}
}
