package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// heartbeatInterval is the time without a record in the log after which the owner
	// appends a heartbeat. The other nodes see from its owner records and progress
	// records that it is alive.
	heartbeatInterval = 400 * time.Millisecond
	// storeBatchWindow is how long changes are collected for one append.
	storeBatchWindow = 3 * time.Millisecond
	// maxRecordsPerAppend bounds the records of one append.
	maxRecordsPerAppend = 400
	// expiryScanInterval is the time between two scans for expired submissions.
	expiryScanInterval = 5 * time.Second
)

// storeRounds counts rounds of storing changes, so that others can wait for a
// round that began after a given event.
type storeRounds struct {
	mu        sync.Mutex
	started   int64
	finished  int64
	roundDone chan struct{}
	wake      chan struct{}
}

func (r *storeRounds) init() {
	r.roundDone = make(chan struct{})
	r.wake = make(chan struct{}, 1)
}

func (r *storeRounds) request() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *storeRounds) begin() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	return r.started
}

func (r *storeRounds) finish(round int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = round
	close(r.roundDone)
	r.roundDone = make(chan struct{})
}

// waitStored blocks until everything that changed before the call is stored. It
// returns false if ctx ends first.
func (r *storeRounds) waitStored(ctx context.Context) bool {
	r.mu.Lock()
	round := r.started + 1
	r.mu.Unlock()
	for {
		r.request()
		r.mu.Lock()
		done, roundDone := r.finished >= round, r.roundDone
		r.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-roundDone:
		}
	}
}

// persist stores changed progress and host records, deletes expired submissions,
// and appends a heartbeat if there was nothing else to store for
// heartbeatInterval or the runs of earlier owners have been reconciled, until ctx
// ends or an append fails.
func (w *Owner) persist(ctx context.Context) {
	self := w.options.Self
	lastStored, lastExpiryScan := w.options.Clock.Now(), w.options.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.storeRounds.wake:
			time.Sleep(storeBatchWindow)
		case <-time.After(heartbeatInterval / 4):
		}
		round := w.storeRounds.begin()
		records, changed := w.hostRecords()
		progress, finished := w.progressRecords()
		records = append(records, progress...)
		now := w.options.Clock.Now()
		if now-lastExpiryScan > expiryScanInterval {
			lastExpiryScan = now
			records = append(records, w.expiryRecords(now)...)
		}
		reconciled := w.Reconciled()
		if len(records) == 0 && now-lastStored > heartbeatInterval || reconciled != self.Reconciled {
			self.Reconciled = reconciled
			self.HeartbeatNumber++
			records = append(records, registry.OwnerRecord(self))
		}
		if len(records) > 0 {
			if err := w.store(ctx, records); err != nil {
				return
			}
			lastStored = now
			w.hostRecordsStored(changed)
			w.removeFinished(finished)
		}
		w.storeRounds.finish(round)
	}
}

// store writes records in order. An error ends the term: the ownership is lost.
func (w *Owner) store(ctx context.Context, records []platform.Record) error {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerAppend)
		sentAt := w.options.Clock.Now()
		err := w.options.Journal.Store(ctx, records[:n])
		if err != nil {
			if errors.Is(err, platform.ErrFenced) {
				w.loseOwnership("the log has a higher fencing token")
			} else if ctx.Err() == nil {
				w.loseOwnership("append to the log failed: " + err.Error())
			}
			return err
		}
		w.authority.extend(sentAt)
		records = records[n:]
	}
	return nil
}

// progressRecords returns the records of changed submissions, and the IDs of those
// that are in a final state.
func (w *Owner) progressRecords() (records []platform.Record, finished []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.scheduler.Changed() {
		p, ok := w.scheduler.Progress(id)
		if !ok {
			continue
		}
		records = append(records, registry.ProgressRecord(id, p))
		if p.State.Final() {
			// The summary limits what a starting node has to read.
			records = append(records, registry.SubmissionRecord(w.scheduler.Submission(id).Summary()))
			finished = append(finished, id)
		}
	}
	return records, finished
}

// removeFinished removes from the scheduler the submissions whose final state is
// stored and whose runs are gone.
func (w *Owner) removeFinished(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.options.Clock.Now()
	for _, id := range ids {
		w.finished[id] = true
		w.finishedAt[id] = now
	}
	for id := range w.finished {
		if w.scheduler.RemoveSubmission(id) {
			delete(w.finished, id)
		}
	}
}

// expiryRecords returns the records that delete submissions that finished longer
// ago than the retention period.
func (w *Owner) expiryRecords(now time.Duration) (records []platform.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.finishedAt {
		if now-at > w.options.RetentionPeriod && len(records) < maxRecordsPerAppend {
			records = append(records, registry.SubmissionDeletionRecords(id)...)
			delete(w.finishedAt, id)
		}
	}
	return records
}
