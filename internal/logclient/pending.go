package logclient

import (
	"context"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// enqueue adds an item to the queue. It returns an error if the client is closed
// or replaced, if the record is too large, or if too many records are pending.
func (c *Client) enqueue(it *item) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return errClosed
	case c.replaced:
		return errReplaced
	case it.size > maxBatchBytes:
		return errRecordTooLarge
	case c.pendingRecords >= c.opts.MaxPendingRecords || c.pendingBytes+it.size > c.opts.MaxPendingBytes:
		c.opts.Metrics.Counter("log_queue_refused").Inc(1)
		return errQueueFull
	}
	c.pendingRecords++
	c.pendingBytes += it.size
	it.dueAt = time.Now().Add(batchDelay(it.record, it.priority))
	c.queue = append(c.queue, it)
	c.opts.Metrics.Gauge("log_pending_records").Update(float64(c.pendingRecords))
	return nil
}

// abandonItem returns the result of an item whose caller's context has ended. An
// item that is still in the queue is removed and did not run. One that is in a
// batch may have run, and its result is discarded later.
func (c *Client) abandonItem(ctx context.Context, it *item) (Receipt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case r := <-it.done:
		return r.receipt, r.err
	default:
	}
	if it.inBatch {
		it.abandoned = true
		return Receipt{}, verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, "log-append-open")
	}
	c.queue = slices.DeleteFunc(c.queue, func(other *item) bool { return other == it })
	c.subtractPending(it)
	return Receipt{}, verdict.Wrap(context.Cause(ctx), verdict.DidNotRun, "log-append-late")
}

// subtractPending removes an item from the count of pending records.
func (c *Client) subtractPending(it *item) {
	c.pendingRecords--
	c.pendingBytes -= it.size
}

// completeItem delivers the result of an item.
func (c *Client) completeItem(it *item, r result) {
	c.subtractPending(it)
	it.done <- r
}

// failAll fails every item: those in batches, which may be in the log, with
// sentErr, and those in the queue with queuedErr.
func (c *Client) failAll(queuedErr, sentErr error) {
	for _, it := range c.queue {
		c.completeItem(it, result{err: queuedErr})
	}
	c.queue = nil
	if c.currentBatch != nil && !c.currentBatch.completed {
		c.failBatch(c.currentBatch, sentErr)
	}
	c.currentBatch = nil
	for _, b := range c.unreadBatches {
		c.failBatch(b, sentErr)
	}
	clear(c.unreadBatches)
}

func (c *Client) failBatch(b *batch, err error) {
	b.completed = true
	for _, it := range b.items {
		c.completeItem(it, result{err: err})
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.failAll(errClosed, errOutcomeUnknown)
}

// completeBatch delivers the receipts for a batch that the replica has applied.
func (c *Client) completeBatch(sequence, offset uint64, events []ledger.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.takeUnread(sequence)
	if b == nil {
		return
	}
	byRecord := make([][]ledger.Event, len(b.items))
	for _, event := range events {
		if i := event.RecordOrigin().Index; i >= 0 && i < len(byRecord) {
			byRecord[i] = append(byRecord[i], event)
		}
	}
	for i, it := range b.items {
		c.completeItem(it, result{receipt: Receipt{Offset: offset, SentAt: b.firstSentAt, Events: byRecord[i]}})
	}
}

// takeUnread returns the batch with the given sequence number and marks it as read
// back. It returns nil if there is no such batch or it was read back before.
func (c *Client) takeUnread(sequence uint64) *batch {
	if b := c.unreadBatches[sequence]; b != nil {
		delete(c.unreadBatches, sequence)
		notify(c.writerWake)
		return b
	}
	b := c.currentBatch
	if b == nil || b.sequence != sequence || b.completed {
		return nil
	}
	b.completed = true
	if !c.appending {
		c.finishCurrentBatch()
		notify(c.writerWake)
	}
	return b
}

// finishCurrentBatch clears the current batch once it is known to be in the
// log, so that the next one can be sent.
func (c *Client) finishCurrentBatch() {
	c.currentBatch = nil
	c.batchSequence++
	c.retryBackOff.Reset()
	c.retryAt = time.Time{}
}

// failCoveredBatches fails the items of batches that a restored snapshot covers,
// given the last batch of this node in the snapshot. The batches were applied, but
// the events of their records are not known. If the snapshot has a batch of a newer
// incarnation, it marks the client as replaced and fails all items.
func (c *Client) failCoveredBatches(incarnation, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation > c.opts.Incarnation {
		c.replaced = true
		c.failAll(errReplaced, errEffectUnknown)
		return
	}
	if incarnation < c.opts.Incarnation {
		return
	}
	var covered []uint64
	for s := range c.unreadBatches {
		if s <= sequence {
			covered = append(covered, s)
		}
	}
	if c.currentBatch != nil && c.currentBatch.sequence <= sequence {
		covered = append(covered, c.currentBatch.sequence)
	}
	for _, s := range covered {
		if b := c.takeUnread(s); b != nil {
			c.failBatch(b, errEffectUnknown)
		}
	}
}

// markReplaced fails all pending items after a batch of this incarnation was
// ignored because a newer incarnation of the node is active. The batches that are
// not read back yet come after that point of the log, so none of them has effect.
func (c *Client) markReplaced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaced = true
	c.failAll(errReplaced, errReplaced)
}
