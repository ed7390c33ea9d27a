package owner

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// maxLoadFaults bounds the submissions that load leaves out. If more of them fail, the
// fault is not that of a submission.
const maxLoadFaults = 20

// load takes over the stored submissions. Those that were read since the term began may
// be among them, and are passed on as events too; that changes nothing.
func (ow *Owner) load() {
	defer close(ow.loaded)
	if ow.options.Stored == nil {
		return
	}
	entries := ow.options.Stored()
	startedAt := ow.options.Clock.Now()
	ow.withState(func() { ow.loadUnlessFaulty(entries) })
	ow.options.Log.Info("The stored submissions were taken over.", "token", ow.options.Self.Token, "submissions", len(entries), "took", ow.options.Clock.Now()-startedAt)
}

// WaitLoaded waits until the stored submissions have been taken over. Runs on hosts are
// known only then. It returns false if ctx ends first.
func (ow *Owner) WaitLoaded(ctx context.Context) bool {
	select {
	case <-ow.loaded:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadUnlessFaulty adds the stored state of every submission. One at which the scheduler
// fails is left out: otherwise no node could become the owner.
func (ow *Owner) loadUnlessFaulty(entries []registry.Entry) {
	failed := make(map[string]bool)
	for len(failed) < maxLoadFaults {
		id, ok := ow.tryLoad(entries, failed)
		if ok {
			return
		}
		failed[id] = true
		ow.scheduler, ow.desired = newScheduler(ow.options), nil
	}
	ow.addAll(entries, failed)
}

// tryLoad adds the stored state of the submissions that are not left out. ok is false
// after a panic at the submission with the returned ID.
func (ow *Owner) tryLoad(entries []registry.Entry, leftOut map[string]bool) (id string, ok bool) {
	defer func() {
		if v := recover(); v != nil {
			id = ow.loading
			ow.options.Log.Error("A submission cannot be loaded and is left out.", "id", id, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	ow.addAll(entries, leftOut)
	return "", true
}

func (ow *Owner) addAll(entries []registry.Entry, leftOut map[string]bool) {
	ow.restoreRunTimes()
	ow.updateDesired()
	now, wall := ow.options.Clock.Now(), ow.options.WallClock()
	for _, e := range entries {
		ow.loading = e.Submission.ID
		switch {
		case leftOut[e.Submission.ID]:
		case e.Progress.State.Final(), e.Expired():
			ow.retained[e.Submission.ID] = finishedSubmission{id: e.Submission.ID, at: now, parts: e.Progress.StoredParts}
		default:
			ow.add(e, now, wall)
		}
	}
}

func (ow *Owner) add(e registry.Entry, now, wall time.Duration) {
	ow.scheduler.Add(e.Submission, e.FullProgress(), e.MayPrecede(ow.options.ClaimOffset), now, wall)
	if e.Cancelled {
		ow.scheduler.Cancel(e.Submission.ID, now)
	}
}
