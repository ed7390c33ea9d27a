package worklog

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// maxQueued bounds the records that wait to be stored.
	maxQueued = 4096
	// maxBatch bounds the records of one append.
	maxBatch = 256
	// maxBatchBytes keeps an append below the request size limit of the store.
	maxBatchBytes = 1 << 20
)

// Appender stores the records of one process in batches, one batch at a time.
type Appender struct {
	sender

	mu       sync.Mutex
	producer platform.Producer
	queue    []*pending
	// open counts the records by key that are queued or sent and whose outcome is not known
	// yet. maxQueued and maxBatch bound it.
	open map[string]int
	wake chan struct{}
}

// pending is one record that waits to be stored.
type pending struct {
	record platform.Record
	// sent is set once the record may have reached the store.
	sent bool
	// abandoned is set when the caller no longer waits for the record.
	abandoned bool
	done      chan error
}

// NewAppender returns an appender. The producer name must be unique to the process.
func NewAppender(t Target, producer string) *Appender {
	return &Appender{
		sender: sender{Target: t}, wake: make(chan struct{}, 1), open: make(map[string]int),
		producer: platform.Producer{Name: producer, Epoch: 1},
	}
}

// Append returns nil once the record is stored. The verdict of an error is
// DidNotRun only if the record is not stored and never will be.
func (a *Appender) Append(ctx context.Context, r platform.Record) error {
	if err := r.Check(); err != nil {
		return verdict.Wrap(err, verdict.DidNotRun, "invalid-record") // the store would refuse the whole batch
	}
	p := &pending{record: r, done: make(chan error, 1)}
	a.mu.Lock()
	if err := a.admit(ctx); err != nil {
		a.mu.Unlock()
		return err
	}
	if len(a.queue) >= maxQueued {
		a.mu.Unlock()
		return verdict.New(verdict.DidNotRun, "append-queue-full", "%d records wait for the store", maxQueued)
	}
	a.queue = append(a.queue, p)
	a.open[r.Key]++
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p.abandoned = true
	if p.sent {
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, "store-silent")
	}
	a.close(p) // nextBatch drops it
	return verdict.Wrap(ctx.Err(), verdict.DidNotRun, "store-unavailable")
}

// admit refuses a record that cannot be stored before the deadline of ctx. The caller
// holds a.mu.
func (a *Appender) admit(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ok, retryAfter := acceptance.Admit(acceptance.AdmitInput{
		Queued: len(a.queue), Batch: maxBatch, AnswerTime: a.Meter.Smoothed(), Remaining: time.Until(deadline),
	})
	if ok {
		return nil
	}
	return verdict.Wrap(&OverloadError{RetryAfter: retryAfter}, verdict.DidNotRun, "store-overloaded")
}

// OverloadError is returned when a record is refused at once, since the store is too
// slow to store it in time.
type OverloadError struct {
	// RetryAfter is when the records that wait now will have been stored.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return "the store is too slow; the queue will be stored in " + e.RetryAfter.String()
}

// Run stores queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		a.storeBatch(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// nextBatch returns the next batch. Abandoned records that were never sent are
// dropped: their callers were told that they are not stored.
func (a *Appender) nextBatch() (batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	size, n := 0, 0
	for _, p := range a.queue {
		if len(batch) == maxBatch || size > maxBatchBytes {
			break
		}
		n++
		if p.abandoned {
			continue
		}
		p.sent = true
		size += len(p.record.Value)
		batch = append(batch, p)
	}
	a.queue = append(a.queue[:0], a.queue[n:]...)
	return batch
}

func (a *Appender) storeBatch(ctx context.Context, batch []*pending) {
	records := make([]platform.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	err := a.appendUntilResolved(ctx, a.producer, records, func(int) bool { return true })
	if err == nil {
		a.producer.Seq++
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		if err == nil || verdict.Of(err) == verdict.DidNotRun {
			a.close(p)
		}
		p.done <- err
	}
}

// close counts a record as no longer open. The caller holds a.mu.
func (a *Appender) close(p *pending) {
	if a.open[p.record.Key]--; a.open[p.record.Key] <= 0 {
		delete(a.open, p.record.Key)
	}
}

// MayStore reports whether a record with the key may still be stored by this appender: it is
// queued, or was sent and its outcome is unknown. A record that was stored before it returned
// false is found by a read of the topic that begins afterwards.
func (a *Appender) MayStore(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open[key] > 0
}
