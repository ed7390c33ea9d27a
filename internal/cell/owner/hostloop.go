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
	// lookWait is how long a host holds a look back until a run ends. It bounds
	// the time between two extensions of the lease.
	lookWait = time.Second
	// lookSlack is added before an answer counts as missing.
	lookSlack = 600 * time.Millisecond
	// silentAfter is how many looks in a row may fail before a host gets no new work.
	silentAfter = 2
	// lookPause is the wait after a failed look.
	lookPause = 100 * time.Millisecond
	// unstoredPause is the time between looks while ends cannot be stored.
	unstoredPause = 300 * time.Millisecond
)

// hostLoop looks at one host again and again.
type hostLoop struct {
	host   cell.Host
	lease  lease
	poke   chan struct{}
	cancel context.CancelFunc
	// adopted is set once the host has listed its runs, lapsed once every lease
	// there is over for certain. Both are guarded by the owner's lock.
	adopted, lapsed bool
	listed          bool
	// formerClosed is set if the former owner had closed the host, so that only
	// the runs it listed may be present. storedClosed is what the log says.
	formerClosed, storedClosed bool
	// silent is set while the host does not answer.
	silent   bool
	failures int
	born     int64
	ack      int64
	seen     int64
}

// SetHosts replaces the hosts that may have runs, and those that the platform
// lists. The caller has stored each of them before.
func (w *Owner) SetHosts(ctx context.Context, stored map[string]registry.Host, listed []cell.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		h.listed = false
	}
	list := make([]cell.Host, 0, len(stored))
	for _, h := range stored {
		list = append(list, h.Spec)
	}
	slices.SortFunc(list, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	w.scheduler.SetHosts(list)
	for _, spec := range list {
		h := w.hosts[spec.ID]
		if h == nil {
			h = &hostLoop{host: spec, poke: make(chan struct{}, 1), lease: lease{length: w.lease()}}
			w.hosts[spec.ID] = h
			w.presume(h, stored[spec.ID])
			var loop context.Context
			loop, h.cancel = context.WithCancel(ctx)
			w.running.Add(1)
			go func() {
				defer w.running.Done()
				w.follow(loop, h)
			}()
		}
	}
	for _, spec := range listed {
		if h := w.hosts[spec.ID]; h != nil {
			h.listed, h.host.Leaving = true, spec.Leaving
		}
	}
	w.scheduler.SetListed(listed)
	w.kick()
}

// presume takes over what the former owner stored about a closed host.
func (w *Owner) presume(h *hostLoop, stored registry.Host) {
	if !stored.Closed {
		return
	}
	h.formerClosed, h.storedClosed = true, true
	w.scheduler.Close(h.host.ID)
	for _, r := range stored.Runs {
		w.scheduler.Presume(h.host.ID, schedule.Run{Task: r.Task, Run: r.Run}, w.o.Clock.Now())
	}
}

// hostChanges returns the records of hosts that are to be closed or opened. A
// host is closed at once and opened once that is stored.
func (w *Owner) hostChanges() (records []platform.Record, changed []*hostLoop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.dropped {
		records = append(records, registry.ForgetHostRecord(id))
	}
	w.dropped = nil
	for _, h := range w.hosts {
		closed := h.host.Leaving || !h.listed || h.lapsed || h.silent
		// What earlier owners run on a host that was never seen is not known, and a
		// successor would take the closed host to have nothing else.
		known := h.adopted || h.lapsed || w.settled
		if closed == h.storedClosed || closed && !known || !closed && !h.adopted {
			continue
		}
		rec := registry.Host{Spec: h.host, Closed: closed}
		if closed {
			for _, r := range w.scheduler.Close(h.host.ID) {
				rec.Runs = append(rec.Runs, registry.Run{Task: r.Task, Run: r.Run})
			}
		}
		records = append(records, registry.HostRecord(rec))
		changed = append(changed, h)
	}
	return records, changed
}

// hostsStored is called once the records of changed hosts are stored.
func (w *Owner) hostsStored(changed []*hostLoop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range changed {
		h.storedClosed = !h.storedClosed
		if !h.storedClosed {
			w.scheduler.Open(h.host.ID)
		}
	}
}

// Known returns the IDs of the hosts that are looked at.
func (w *Owner) Known() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := make(map[string]bool, len(w.hosts))
	for id := range w.hosts {
		known[id] = true
	}
	return known
}

// follow looks at a host until ctx ends or the host is gone.
func (w *Owner) follow(ctx context.Context, h *hostLoop) {
	for ctx.Err() == nil {
		select {
		case <-w.deposed:
			return
		default:
		}
		if !w.authority.holds() {
			ctxtime.Sleep(ctx, lookPause)
			continue
		}
		if !w.look(ctx, h) && w.gone(h) {
			return
		}
	}
}

// look sends one look and applies its answer. It reports whether there was one.
func (w *Owner) look(ctx context.Context, h *hostLoop) bool {
	sent := w.o.Clock.Now()
	o := platform.Hold{Token: w.o.Self.Token, Ack: h.ack}
	if h.failures == 0 {
		// A host that does not answer must not have its lease extended: whether
		// such a look has arrived is not known, and the lease would never end.
		o.Until = h.lease.grant(sent)
	}
	if o.Until > 0 {
		o.Wait = lookWait
	}
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+lookSlack)
	done := make(chan struct{})
	go func() {
		select {
		case <-h.poke:
			cancel()
		case <-done:
		}
	}()
	l, unread, refusal, err := w.o.Runners.Hold(callCtx, &h.host, o)
	close(done)
	poked := callCtx.Err() == context.Canceled && ctx.Err() == nil
	cancel()
	now := w.o.Clock.Now()
	switch {
	case err == nil && refusal == platform.RefusedFenced:
		w.depose("host " + h.host.ID + " knows a higher token")
		return false
	case err == nil && refusal == platform.RefusedLifetime:
		w.o.Log.Info("A host is another one now; its runs are gone.", "host", h.host.ID)
		w.lapse(h, now)
		ctxtime.Sleep(ctx, lookPause)
		return false
	case err != nil || refusal != platform.NotRefused:
		if poked {
			h.failures = max(h.failures, 1) // the next look does not wait
			return true
		}
		w.failedLook(h, now, refusal, err)
		ctxtime.Sleep(ctx, lookPause)
		return false
	}
	if unread > 0 {
		w.o.Log.Warn("A host lists runs that cannot be read.", "host", h.host.ID, "count", unread)
	}
	h.failures = 0
	w.apply(ctx, h, sent, now, l)
	return true
}

// apply hands a listing to the scheduler and waits until its ends are stored.
func (w *Owner) apply(ctx context.Context, h *hostLoop, sent, now time.Duration, l cell.Listing) {
	if h.born != 0 && l.Born != 0 && l.Born != h.born {
		h.ack, h.seen = 0, 0
		h.lease.reset()
	}
	h.born = l.Born
	h.lease.observe(l.ClockMs, now)
	last := h.seen
	for _, e := range l.Ended {
		last = max(last, e.Number)
	}
	w.mu.Lock()
	w.scheduler.Listed(h.host.ID, sent, now, l)
	h.adopted, h.lapsed, h.silent = true, false, false
	w.mu.Unlock()
	w.kick()
	for _, e := range l.Ended {
		if e.Number > h.seen {
			w.metrics.ended[e.Outcome].Inc(1)
			w.o.Log.Info("A run has ended.", "id", e.Task.Submission, "task", e.Task.String(), "run", e.Run, "host", h.host.ID, "outcome", e.Outcome.String())
		}
	}
	if last == h.seen && last == h.ack {
		return
	}
	h.seen = last
	storeCtx, cancel := context.WithTimeout(ctx, unstoredPause)
	defer cancel()
	if w.progress.wait(storeCtx) {
		h.ack = last
	}
}

func (w *Owner) failedLook(h *hostLoop, now time.Duration, refusal platform.Refusal, err error) {
	h.failures++
	if h.failures == silentAfter {
		w.o.Log.Warn("A host does not answer.", "host", h.host.ID, "refusal", refusal.String(), "error", errText(err))
		w.mu.Lock()
		h.silent = true
		w.scheduler.Silent(h.host.ID)
		w.mu.Unlock()
		w.progress.request()
	}
	at, ok := h.lease.over()
	if !ok {
		w.mu.Lock()
		at = w.unknownUntil()
		w.mu.Unlock()
	}
	if now > at && h.failures > silentAfter {
		w.lapse(h, now)
	}
}

func (w *Owner) lapse(h *hostLoop, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.lapsed {
		return
	}
	h.lapsed = true
	w.scheduler.Silent(h.host.ID)
	w.scheduler.Lapsed(h.host.ID, now)
	w.o.Log.Info("Every lease on a host is over.", "host", h.host.ID)
	w.kick()
}

// gone forgets a host that the platform does not list and that runs nothing.
func (w *Owner) gone(h *hostLoop) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.listed || !h.lapsed {
		return false
	}
	delete(w.hosts, h.host.ID)
	w.dropped = append(w.dropped, h.host.ID)
	w.scheduler.Forget(h.host.ID)
	h.cancel()
	return true
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
