package logclient

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// errLogTooShort means that the log ends before the next offset of the replica. The
// log guarantees that it never loses its last records.
var errLogTooShort = eris.New("the log ends before the next offset of the replica")

func (c *Client) readLoop(ctx context.Context) error {
	retry, failing := newRetryBackOff(), false
	for ctx.Err() == nil {
		err := c.readPage(ctx)
		if err == nil {
			if failing {
				c.opts.Logger.Info("log client: the log can be read again.")
			}
			retry.Reset()
			failing = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !failing {
			c.opts.Logger.Warn("log client: the log cannot be read; retrying.", "error", err)
		}
		failing = true
		waitFor(ctx, retry.NextBackOff(), nil)
	}
	return nil
}

// readPage reads one page and applies its records. If the next record is no longer
// in the log, it rebuilds the replica from a snapshot instead.
func (c *Client) readPage(ctx context.Context) error {
	next := c.opts.Replica.NextOffset()
	page, err := c.read(ctx, next)
	switch {
	case errors.Is(err, logsvc.ErrTrimmed), err == nil && page.Oldest > next:
		return c.rebuild(ctx, page.Oldest)
	case err != nil:
		return err
	case page.End < next:
		return eris.Wrapf(errLogTooShort, "end %d, state at %d", page.End, next)
	}
	for _, record := range page.Records {
		if err := c.applyRecord(record); err != nil {
			return err
		}
	}
	c.setReachedEnd(c.opts.Replica.NextOffset() >= page.End)
	c.signalSnapshot()
	return nil
}

func (c *Client) read(ctx context.Context, from uint64) (logsvc.Page, error) {
	limited, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	page, err := c.opts.Log.Read(limited, from, maxPageRecords)
	if err == nil || errors.Is(err, logsvc.ErrTrimmed) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastReadAt = time.Now()
	}
	return page, err
}

// setReachedEnd records whether the replica is at the end of the log.
func (c *Client) setReachedEnd(reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reachedEnd = reached
}

// applyRecord applies one record of the log to the replica. If the record is a
// batch of this client, the callers of Submit get their results.
func (c *Client) applyRecord(record logsvc.Record) error {
	events, err := c.opts.Replica.Apply(record.Offset, record.Payload)
	if errors.Is(err, ledger.ErrNotNewer) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "apply the record at %d", record.Offset)
	}
	if len(events) == 0 {
		return nil
	}
	o := events[0].RecordOrigin()
	if o.Node != c.opts.Node || o.Incarnation != c.opts.Incarnation {
		return nil
	}
	switch first := events[0].(type) {
	case ledger.BatchApplied:
		c.completeBatch(o.Sequence, o.Offset, events)
	case ledger.BatchIgnored:
		if !first.Duplicate {
			c.markReplaced()
		}
	}
	return nil
}
