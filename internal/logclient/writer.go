package logclient

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// idleWait is how long the writer waits without a signal if nothing is due.
const idleWait = time.Minute

func (c *Client) writeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		b, wait := c.begin()
		if b == nil {
			sleep(ctx, wait, c.wakeWriter)
			continue
		}
		c.send(ctx, b)
	}
	return nil
}

// begin returns the batch to send now, with its append marked as in progress,
// or the time to wait.
func (c *Client) begin() (b *batch, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if wait := c.waitTime(now); wait > 0 {
		return nil, wait
	}
	if c.current == nil {
		if !c.assemble() {
			return nil, idleWait
		}
	}
	if c.current.firstSent.IsZero() {
		c.current.firstSent = now
	}
	c.appending = true
	return c.current, 0
}

// waitTime returns how long to wait before the next append; zero means to send
// now. A batch that is sent now takes its place in the append rate.
func (c *Client) waitTime(now time.Time) time.Duration {
	if c.replaced || c.closed {
		return idleWait
	}
	if wait := c.retryAt.Sub(now); wait > 0 {
		return wait
	}
	if c.current != nil {
		return 0
	}
	if len(c.queue) == 0 || len(c.unread) >= maxUnread {
		return idleWait
	}
	due, immediate := c.queue[0].due, false
	for _, it := range c.queue {
		immediate = immediate || it.priority == Immediate
		if it.due.Before(due) {
			due = it.due
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

// assemble makes the next batch from all waiting records, due or not, by
// priority. It reports whether there is one.
func (c *Client) assemble() bool {
	slices.SortStableFunc(c.queue, func(a, b *item) int { return int(a.priority) - int(b.priority) })
	n, size := 0, 0
	for n < len(c.queue) && n < maxBatchRecords && (n == 0 || size+c.queue[n].size <= maxBatchBytes) {
		size += c.queue[n].size
		n++
	}
	items := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	b, err := newBatch(c.opts.Node, c.opts.Incarnation, c.sequence, items)
	if err != nil {
		for _, it := range items {
			c.finish(it, result{err: err})
		}
		return false
	}
	for _, it := range items {
		it.sent = true
	}
	c.current = b
	return true
}

// send makes one attempt to append a batch.
func (c *Client) send(ctx context.Context, b *batch) {
	attempt, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	_, err := c.opts.Log.Append(attempt, b.payload)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if err == nil {
		c.lastAppend = time.Now()
	}
	if c.current != b {
		return // Ended by close or replace.
	}
	switch {
	case b.seen:
		c.leaveCurrent()
	case err == nil:
		c.unread[b.sequence] = b
		c.leaveCurrent()
		c.opts.Metrics.Counter("log_appends").Inc(1)
	case errors.Is(err, logsvc.ErrNotAppended) && !b.uncertain:
		c.opts.Metrics.Counter("log_appends_refused").Inc(1)
		c.dissolve(b)
		c.backOff(err)
	default:
		c.opts.Metrics.Counter("log_appends_uncertain").Inc(1)
		b.uncertain = true
		c.backOff(err)
	}
}

// dissolve puts the records of a batch that is surely not in the log back in
// front of the queue. Its sequence number is not used again, so that a batch
// that is in the log in spite of the refusal is not taken for the next one.
func (c *Client) dissolve(b *batch) {
	kept := make([]*item, 0, len(b.items)+len(c.queue))
	for _, it := range b.items {
		it.sent = false
		if it.abandoned {
			c.release(it)
			continue
		}
		kept = append(kept, it)
	}
	c.queue = append(kept, c.queue...)
	c.current = nil
	c.sequence++
}

func (c *Client) backOff(err error) {
	wait := c.retry.NextBackOff()
	c.retryAt = time.Now().Add(wait)
	c.opts.Logger.Debug("log client: append failed.", "error", err, "wait", wait)
}
