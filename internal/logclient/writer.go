package logclient

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// idleWakeInterval is the interval at which the writer wakes up without a signal
// when there is nothing to append.
const idleWakeInterval = time.Minute

func (c *Client) writeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		b, wait := c.nextAppend()
		if b == nil {
			waitFor(ctx, wait, c.writerWake)
			continue
		}
		c.appendBatch(ctx, b)
	}
	return nil
}

// nextAppend returns the batch to append now and marks its append as in progress. If
// there is none, it returns how long to wait.
func (c *Client) nextAppend() (b *batch, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait := c.waitTime(now); wait > 0 {
		return nil, wait
	}
	if c.currentBatch == nil {
		if !c.buildBatch() {
			return nil, idleWakeInterval
		}
	}
	if c.currentBatch.firstSentAt.IsZero() {
		c.currentBatch.firstSentAt = now
	}
	c.appending = true
	return c.currentBatch, 0
}

// waitTime returns how long to wait before the next append. Zero means to append
// now; if that starts a new batch, it is counted against the append rate.
func (c *Client) waitTime(now time.Time) time.Duration {
	if c.replaced || c.closed {
		return idleWakeInterval
	}
	if wait := c.retryAt.Sub(now); wait > 0 {
		return wait
	}
	if c.currentBatch != nil {
		return 0
	}
	if len(c.queue) == 0 || len(c.unreadBatches) >= maxUnreadBatches {
		return idleWakeInterval
	}
	due, immediate := c.queue[0].dueAt, false
	for _, it := range c.queue {
		immediate = immediate || it.priority == Immediate
		if it.dueAt.Before(due) {
			due = it.dueAt
		}
	}
	if immediate {
		c.limiter.AllowN(now, 1)
		return 0
	}
	if wait := due.Sub(now); wait > 0 {
		return wait
	}
	reservation := c.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait
	}
	return 0
}

// buildBatch makes the next batch from the queued records in order of priority,
// whether they are due or not, up to the limits of a batch. It returns false if the
// batch could not be encoded.
func (c *Client) buildBatch() bool {
	slices.SortStableFunc(c.queue, func(a, b *item) int { return int(a.priority) - int(b.priority) })
	n, size := 0, 0
	for n < len(c.queue) && n < maxBatchRecords && (n == 0 || size+c.queue[n].size <= maxBatchBytes) {
		size += c.queue[n].size
		n++
	}
	items := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	b, err := newBatch(c.opts.Node, c.opts.Incarnation, c.batchSequence, items)
	if err != nil {
		for _, it := range items {
			c.completeItem(it, result{err: err})
		}
		return false
	}
	for _, it := range items {
		it.inBatch = true
	}
	c.currentBatch = b
	return true
}

// appendBatch makes one attempt to append a batch and handles its outcome: the
// batch is in the log, was refused, or may be in the log and must be retried with
// the same sequence number.
func (c *Client) appendBatch(ctx context.Context, b *batch) {
	attempt, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	_, err := c.opts.Log.Append(attempt, b.payload)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if err == nil {
		c.lastAppendAt = time.Now()
	}
	if c.currentBatch != b {
		return // The batch has failed: the client is closed or replaced.
	}
	switch {
	case b.completed:
		c.finishCurrentBatch()
	case err == nil:
		c.unreadBatches[b.sequence] = b
		c.finishCurrentBatch()
		c.opts.Metrics.Counter("log_appends").Inc(1)
	case errors.Is(err, logsvc.ErrNotAppended) && !b.outcomeUnknown:
		c.opts.Metrics.Counter("log_appends_refused").Inc(1)
		c.requeueBatch(b)
		c.scheduleRetry(err)
	default:
		c.opts.Metrics.Counter("log_appends_uncertain").Inc(1)
		b.outcomeUnknown = true
		c.scheduleRetry(err)
	}
}

// requeueBatch puts the records of a batch that was not appended back at the front
// of the queue. The sequence number is not used again. Otherwise, if the batch were
// in the log in spite of the refusal, the next batch would be mistaken for it.
func (c *Client) requeueBatch(b *batch) {
	requeued := make([]*item, 0, len(b.items)+len(c.queue))
	for _, it := range b.items {
		it.inBatch = false
		if it.abandoned {
			c.subtractPending(it)
			continue
		}
		requeued = append(requeued, it)
	}
	c.queue = append(requeued, c.queue...)
	c.currentBatch = nil
	c.batchSequence++
}

func (c *Client) scheduleRetry(err error) {
	wait := c.retryBackOff.NextBackOff()
	c.retryAt = time.Now().Add(wait)
	c.opts.Logger.Debug("log client: append failed.", "error", err, "wait", wait)
}
