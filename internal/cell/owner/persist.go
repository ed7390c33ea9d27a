package owner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
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

// persist stores changed progress and host records and deletes expired submissions and
// tombstones, until ctx ends or an append fails.
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
		records, changed, finished := ow.changedRecords()
		now := ow.options.Clock.Now()
		if now-lastExpiryScan > expiryScanInterval {
			expired, all := ow.expiryRecords(now)
			tombstones, allTombstones := ow.tombstoneExpiryRecords(now)
			records = append(append(records, expired...), tombstones...)
			if all && allTombstones {
				lastExpiryScan = now // otherwise the next round goes on
			}
		}
		if ow.isBroken() {
			return
		}
		if records = ow.withPeriodicRecords(records, now); len(records) > 0 {
			err := ow.store(ctx, records)
			ow.published.stored(ow.options.Clock.Now() - now)
			leftOut := new(worklog.UnstorableError)
			if err != nil && !errors.As(err, &leftOut) {
				return
			}
			ow.hostRecordsStored(slices.DeleteFunc(changed, func(c hostChange) bool { return leftOut.Has(registry.HostKey(c.poller.host.ID)) }))
			ow.removeFinished(finished)
			if ow.failLeftOut(leftOut) {
				ow.storeRounds.request()
				continue // the next round stores that they have failed, and counts for this one
			}
		}
		ow.storeRounds.finish(round)
	}
}

// changedRecords returns the records of what has changed. The runs on hosts are collected
// first: one that ends meanwhile may be listed as present there, and be done. They are stored
// last: a round may take several appends, and the owner may be fenced between two of them. A
// successor that lacks a run in the record of a closed host, and its end, would start its task
// again without waiting for the host.
func (ow *Owner) changedRecords() (records []platform.Record, hosts []hostChange, finished []finishedSubmission) {
	hostRecords, hosts := ow.hostRecords()
	records, finished = ow.progressRecords()
	return append(records, hostRecords...), hosts, finished
}

// store writes records in order. An error ends the term: the ownership is lost. The exception
// is a *worklog.UnstorableError, with which all other records are stored.
func (ow *Owner) store(ctx context.Context, records []platform.Record) error {
	var leftOut *worklog.UnstorableError
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerAppend)
		sentAt := ow.options.Clock.Now()
		err := ow.options.Journal.Store(ctx, records[:n])
		if unstorable := new(worklog.UnstorableError); errors.As(err, &unstorable) {
			if leftOut == nil {
				leftOut = &worklog.UnstorableError{}
			}
			leftOut.Keys = append(leftOut.Keys, unstorable.Keys...)
			err = nil
		}
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
	if leftOut != nil {
		return leftOut
	}
	return nil
}

// failLeftOut fails the submissions whose progress can never be stored, since it would be unknown
// to a successor that their tasks are done. It reports whether there are any.
func (ow *Owner) failLeftOut(leftOut *worklog.UnstorableError) (any bool) {
	for _, key := range leftOut.Keys {
		if id, ok := registry.SubmissionOfProgress(key); ok {
			any = true
			ow.withState(func() { ow.scheduler.Fail(id, "its progress cannot be stored", ow.options.Clock.Now()) })
		}
	}
	return any
}

// removeFinished removes from the scheduler the submissions whose final state is
// stored and whose runs are gone.
func (ow *Owner) removeFinished(list []finishedSubmission) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return
	}
	now := ow.options.Clock.Now()
	for _, f := range list {
		f.at = now
		ow.finished[f.id] = true
		ow.retained[f.id] = f
	}
	for id := range ow.finished {
		if ow.scheduler.RemoveSubmission(id) {
			delete(ow.finished, id)
		}
	}
}

// expiryRecords returns the records that delete submissions that finished longer
// ago than the retention period, and whether these are all of them: one round stores
// about maxRecordsPerAppend.
func (ow *Owner) expiryRecords(now time.Duration) (records []platform.Record, all bool) {
	ow.mu.Lock()
	defer ow.unlock()
	for id, f := range ow.retained {
		if now-f.at <= ow.options.RetentionPeriod {
			continue
		}
		if len(records) >= maxRecordsPerAppend {
			return records, false
		}
		records = append(records, registry.SubmissionDeletionRecords(id, f.parts)...)
		delete(ow.retained, id)
	}
	return records, true
}
