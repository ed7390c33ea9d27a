package logclient

import (
	"context"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// enqueue adds an item to the queue or refuses it.
func (c *Client) enqueue(it *item) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return errClosed
	case c.replaced:
		return errReplaced
	case it.size > maxBatchBytes:
		return errSize
	case c.records >= c.opts.MaxPendingRecords || c.bytes+it.size > c.opts.MaxPendingBytes:
		c.opts.Metrics.Counter("log_queue_refused").Inc(1)
		return errFull
	}
	c.records++
	c.bytes += it.size
	it.due = time.Now().Add(delayOf(it.record, it.priority))
	c.queue = append(c.queue, it)
	c.opts.Metrics.Gauge("log_pending_records").Update(float64(c.records))
	return nil
}

// abandon ends the wait for an item whose caller gave up.
func (c *Client) abandon(ctx context.Context, it *item) (Receipt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case r := <-it.done:
		return r.receipt, r.err
	default:
	}
	if it.sent {
		it.abandoned = true
		return Receipt{}, verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, "log-append-open")
	}
	c.queue = slices.DeleteFunc(c.queue, func(other *item) bool { return other == it })
	c.release(it)
	return Receipt{}, verdict.Wrap(context.Cause(ctx), verdict.DidNotRun, "log-append-late")
}

// release stops counting an item.
func (c *Client) release(it *item) {
	c.records--
	c.bytes -= it.size
}

// finish ends an item.
func (c *Client) finish(it *item, r result) {
	c.release(it)
	it.done <- r
}

// failAll ends every item: those that may be in the log with sent, the others
// with queued.
func (c *Client) failAll(queued, sent error) {
	for _, it := range c.queue {
		c.finish(it, result{err: queued})
	}
	c.queue = nil
	if c.current != nil && !c.current.seen {
		c.failBatch(c.current, sent)
	}
	c.current = nil
	for _, b := range c.unread {
		c.failBatch(b, sent)
	}
	clear(c.unread)
}

func (c *Client) failBatch(b *batch, err error) {
	b.seen = true
	for _, it := range b.items {
		c.finish(it, result{err: err})
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.failAll(errClosed, errUnknown)
}

// settle ends the items of a batch that the replica has applied.
func (c *Client) settle(sequence, offset uint64, events []ledger.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.take(sequence)
	if b == nil {
		return
	}
	byRecord := make([][]ledger.Event, len(b.items))
	for _, event := range events {
		if i := event.From().Index; i >= 0 && i < len(byRecord) {
			byRecord[i] = append(byRecord[i], event)
		}
	}
	for i, it := range b.items {
		c.finish(it, result{receipt: Receipt{Offset: offset, SentAt: b.firstSent, Events: byRecord[i]}})
	}
}

// take returns a batch that the reader has found for the first time, or nil.
func (c *Client) take(sequence uint64) *batch {
	if b := c.unread[sequence]; b != nil {
		delete(c.unread, sequence)
		signal(c.wakeWriter)
		return b
	}
	b := c.current
	if b == nil || b.sequence != sequence || b.seen {
		return nil
	}
	b.seen = true
	if !c.appending {
		c.leaveCurrent()
		signal(c.wakeWriter)
	}
	return b
}

// leaveCurrent makes room for the next batch after the current one is known to
// be in the log.
func (c *Client) leaveCurrent() {
	c.current = nil
	c.sequence++
	c.retry.Reset()
	c.retryAt = time.Time{}
}

// settleRestored ends the items whose batches a loaded snapshot covers. What
// they did is not known.
func (c *Client) settleRestored(incarnation, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incarnation > c.opts.Incarnation {
		c.replaced = true
		c.failAll(errReplaced, errMissed)
		return
	}
	if incarnation < c.opts.Incarnation {
		return
	}
	var covered []uint64
	for s := range c.unread {
		if s <= sequence {
			covered = append(covered, s)
		}
	}
	if c.current != nil && c.current.sequence <= sequence {
		covered = append(covered, c.current.sequence)
	}
	for _, s := range covered {
		if b := c.take(s); b != nil {
			c.failBatch(b, errMissed)
		}
	}
}

// replace ends everything after the log has shown that a newer incarnation of
// the node is active. Batches not yet read are behind that point of the log.
func (c *Client) replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaced = true
	c.failAll(errReplaced, errReplaced)
}
