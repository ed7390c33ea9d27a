package logclient

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

// errNoSnapshot means that the log has no complete snapshot that is newer than the
// replica and reaches up to the records that are still in the log.
var errNoSnapshot = eris.New("no usable snapshot in the log")

// rebuild replaces the state of the replica with the newest complete snapshot in
// the log. It keeps one page and at most two snapshots in memory. If there is no
// usable snapshot yet, it returns an error, and the next call continues the search
// where this one ended.
func (c *Client) rebuild(ctx context.Context, oldest uint64) error {
	c.setReachedEnd(false)
	c.opts.Metrics.Counter("log_rebuilds").Inc(1)
	if c.assembler == nil {
		c.assembler, c.scanOffset = &ledger.Assembler{}, max(oldest, ledger.FirstOffset)
	}
	if err := c.findSnapshot(ctx); err != nil {
		return err
	}
	next, ends := c.opts.Replica.NextOffset(), c.assembler.NextOffset
	if c.assembler.Data == nil || ends <= next || ends < oldest {
		return eris.Wrapf(errNoSnapshot, "newest snapshot ends at %d, state at %d, oldest record at %d", ends, next, oldest)
	}
	data := c.assembler.Data
	c.assembler = nil
	if err := c.opts.Replica.Restore(data); err != nil {
		return eris.Wrapf(err, "restore the snapshot that ends at %d", ends)
	}
	incarnation, sequence, _ := c.opts.Replica.LastBatch(c.opts.Node)
	c.failCoveredBatches(incarnation, sequence)
	c.opts.Logger.Info("log client: state restored from a snapshot.", "from", next, "to", ends)
	return nil
}

// findSnapshot reads the log to its end and collects snapshots. If the log drops
// records that are not read yet, it continues at the oldest remaining record.
func (c *Client) findSnapshot(ctx context.Context) error {
	for {
		page, err := c.read(ctx, c.scanOffset)
		if errors.Is(err, logsvc.ErrTrimmed) && page.Oldest > c.scanOffset {
			c.scanOffset = page.Oldest
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			c.assembler.Add(record.Payload)
			c.scanOffset = record.Offset + 1
		}
		if c.scanOffset >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return eris.Errorf("log returned no records from offset %d, although it ends at %d", c.scanOffset, page.End)
		}
	}
}
