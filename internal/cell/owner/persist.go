package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// maxStoreInterval is the longest time between two rounds of storing changes.
	maxStoreInterval = 100 * time.Millisecond
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

// persist stores changed progress and host records and deletes expired submissions,
// until ctx ends or an append fails.
func (ow *Owner) persist(ctx context.Context) {
	lastExpiryScan := ow.options.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ow.storeRounds.wake:
			time.Sleep(storeBatchWindow)
		case <-time.After(maxStoreInterval):
		}
		round := ow.storeRounds.begin()
		records, changed := ow.hostRecords()
		progress, finished := ow.progressRecords()
		records = append(records, progress...)
		now := ow.options.Clock.Now()
		if now-lastExpiryScan > expiryScanInterval {
			lastExpiryScan = now
			records = append(records, ow.expiryRecords(now)...)
		}
		if ow.isBroken() {
			return
		}
		if len(records) > 0 {
			if err := ow.store(ctx, records); err != nil {
				return
			}
			ow.hostRecordsStored(changed)
			ow.removeFinished(finished)
		}
		ow.storeRounds.finish(round)
	}
}

// store writes records in order. An error ends the term: the ownership is lost.
func (ow *Owner) store(ctx context.Context, records []platform.Record) error {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerAppend)
		sentAt := ow.options.Clock.Now()
		err := ow.options.Journal.Store(ctx, records[:n])
		if err != nil {
			if errors.Is(err, platform.ErrFenced) {
				ow.loseOwnership("the log has a higher fencing token")
			} else if ctx.Err() == nil {
				ow.loseOwnership("append to the log failed: " + err.Error())
			}
			return err
		}
		ow.delays.stored(sentAt, ow.options.Clock.Now()-sentAt, n)
		ow.authority.extend(sentAt)
		if slices.ContainsFunc(records[:n], registry.IsOwnerWrite) {
			ow.lastSeenAppend.Store(int64(sentAt))
		}
		records = records[n:]
	}
	return nil
}

// progressRecords returns the records of changed submissions, and the IDs of those
// that are in a final state.
func (ow *Owner) progressRecords() (records []platform.Record, finished []string) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return nil, nil
	}
	for _, id := range ow.scheduler.Changed() {
		p, ok := ow.scheduler.Progress(id)
		if !ok {
			continue
		}
		records = append(records, ow.progressRecord(id, p))
		if p.State.Final() {
			// The summary limits what a starting node has to read.
			records = append(records, registry.SubmissionRecord(ow.scheduler.Submission(id).Summary()))
			finished = append(finished, id)
		}
	}
	return records, finished
}

// progressRecord returns the record of the progress of a submission. If it exceeds the
// limit of the store, it lacks what a later owner can do without: checkpoints, and then
// the failures. Without a record nothing that has ended could be acknowledged.
func (ow *Owner) progressRecord(id string, p cell.Progress) platform.Record {
	r := registry.ProgressRecord(id, p)
	for _, reduce := range []func(cell.Progress) cell.Progress{cell.Progress.WithoutCheckpoints, cell.Progress.WithoutFailures} {
		err := r.Check()
		if err == nil {
			break
		}
		if !ow.reduced[id] {
			ow.reduced[id] = true
			ow.options.Log.Warn("The progress of a submission is stored without checkpoints or failures.", "id", id, "error", err)
		}
		p = reduce(p)
		r = registry.ProgressRecord(id, p)
	}
	return r
}

// removeFinished removes from the scheduler the submissions whose final state is
// stored and whose runs are gone.
func (ow *Owner) removeFinished(ids []string) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return
	}
	now := ow.options.Clock.Now()
	for _, id := range ids {
		ow.finished[id] = true
		ow.finishedAt[id] = now
	}
	for id := range ow.finished {
		if ow.scheduler.RemoveSubmission(id) {
			delete(ow.finished, id)
			delete(ow.reduced, id)
		}
	}
}

// expiryRecords returns the records that delete submissions that finished longer
// ago than the retention period.
func (ow *Owner) expiryRecords(now time.Duration) (records []platform.Record) {
	ow.mu.Lock()
	defer ow.unlock()
	for id, at := range ow.finishedAt {
		if now-at > ow.options.RetentionPeriod && len(records) < maxRecordsPerAppend {
			records = append(records, registry.SubmissionDeletionRecords(id)...)
			delete(ow.finishedAt, id)
		}
	}
	return records
}
