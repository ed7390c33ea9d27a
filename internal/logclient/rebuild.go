package logclient

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// errNoSnapshot means that the log has no snapshot from which the replica can go on.
var errNoSnapshot = eris.New("no usable snapshot in the log")

// rebuild replaces the state by the newest complete snapshot in the log. It
// keeps one page and at most two snapshots in memory. If there is no usable
// snapshot yet, the next call goes on where this one ended.
func (c *Client) rebuild(ctx context.Context, oldest uint64) error {
	c.noteEnd(false)
	c.opts.Metrics.Counter("log_rebuilds").Inc(1)
	if c.found == nil {
		c.found, c.scanned = &ledger.Assembler{}, max(oldest, ledger.FirstOffset)
	}
	if err := c.findSnapshot(ctx); err != nil {
		return err
	}
	next, ends := c.opts.Replica.NextOffset(), c.found.NextOffset
	if c.found.Data == nil || ends <= next || ends < oldest {
		return eris.Wrapf(errNoSnapshot, "newest ends at %d, state at %d, oldest record %d", ends, next, oldest)
	}
	data := c.found.Data
	c.found = nil
	if err := c.opts.Replica.Restore(data); err != nil {
		return eris.Wrapf(err, "restore the snapshot that ends at %d", ends)
	}
	incarnation, sequence, _ := c.opts.Replica.LastBatch(c.opts.Node)
	c.settleRestored(incarnation, sequence)
	c.opts.Logger.Info("log client: state restored from a snapshot.", "from", next, "to", ends)
	return nil
}

// findSnapshot reads the log to its end. If retention overtakes it, it goes on
// at the new oldest record.
func (c *Client) findSnapshot(ctx context.Context) error {
	for {
		page, err := c.read(ctx, c.scanned)
		if errors.Is(err, logsvc.ErrTrimmed) && page.Oldest > c.scanned {
			c.scanned = page.Oldest
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			c.found.Add(record.Payload)
			c.scanned = record.Offset + 1
		}
		if c.scanned >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return eris.Errorf("log gave no records from %d to %d", c.scanned, page.End)
		}
	}
}
