package owner

import (
	"runtime/debug"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// maxLoadFaults bounds the submissions that Load leaves out. If more of them fail, the
// fault is not that of a submission.
const maxLoadFaults = 20

// Load adds the stored state of every submission. It is called before Run, by the
// goroutine that reads the log. A submission at which the scheduler fails is left out:
// otherwise no node could become the owner.
func (ow *Owner) Load(entries []registry.Entry) {
	ow.mu.Lock()
	defer ow.unlock()
	failed := make(map[string]bool)
	for len(failed) < maxLoadFaults {
		id, ok := ow.tryLoad(entries, failed)
		if ok {
			return
		}
		failed[id] = true
		ow.scheduler, ow.desired = newScheduler(ow.options), nil
	}
	ow.load(entries, failed)
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
	ow.load(entries, leftOut)
	return "", true
}

func (ow *Owner) load(entries []registry.Entry, leftOut map[string]bool) {
	ow.updateDesired()
	now, wall := ow.options.Clock.Now(), ow.options.WallClock()
	for _, e := range entries {
		ow.loading = e.Submission.ID
		switch {
		case leftOut[e.Submission.ID]:
		case e.Progress.State.Final():
			ow.finishedAt[e.Submission.ID] = now
		default:
			ow.add(e, now, wall)
		}
	}
}

func (ow *Owner) add(e registry.Entry, now, wall time.Duration) {
	ow.scheduler.Add(e.Submission, e.Progress, e.Offset < ow.options.ClaimOffset, now, wall)
	if e.Cancelled {
		ow.scheduler.Cancel(e.Submission.ID, now)
	}
}
