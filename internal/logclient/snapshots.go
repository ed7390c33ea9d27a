package logclient

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// signalSnapshot wakes the snapshot loop if this node has to write a snapshot.
func (c *Client) signalSnapshot() {
	if c.ShouldSnapshot() {
		notify(c.snapshotWake)
	}
}

// ShouldSnapshot reports whether this node has to write a snapshot now. That is so
// if at least SnapshotIntervalRecords records follow the last snapshot, the
// replica is at the end of the log, and this node is the one that writes
// snapshots.
func (c *Client) ShouldSnapshot() bool {
	if c.opts.SnapshotIntervalRecords == 0 || !c.Contact().ReachedEnd {
		return false
	}
	status := c.opts.Replica.Status()
	return status.NextOffset-status.SnapshotOffset >= c.opts.SnapshotIntervalRecords &&
		c.opts.IsSnapshotWriter(c.opts.Replica.Members())
}

func (c *Client) snapshotLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.snapshotWake:
		}
		// A snapshot may have been written since the signal was sent.
		if !c.ShouldSnapshot() {
			continue
		}
		if err := c.WriteSnapshot(ctx); err != nil && ctx.Err() == nil {
			c.opts.Logger.Warn("log client: snapshot could not be written.", "error", err)
		}
	}
}

// WriteSnapshot appends the state of the replica to the log in chunks. It waits for
// each chunk to be applied before it appends the next one.
func (c *Client) WriteSnapshot(ctx context.Context) error {
	data, offset, err := c.opts.Replica.Snapshot()
	if err != nil {
		return err
	}
	id := ledger.SnapshotID(c.opts.Node, c.opts.Incarnation, offset)
	for _, chunk := range ledger.Chunks(id, offset, data) {
		if err := c.writeChunk(ctx, chunk); err != nil {
			return eris.Wrapf(err, "snapshot %s, chunk %d of %d", id, chunk.Index+1, chunk.Total)
		}
	}
	c.opts.Metrics.Counter("log_snapshots").Inc(1)
	c.opts.Logger.Info("log client: snapshot written.", "offset", offset, "bytes", len(data))
	return nil
}

func (c *Client) writeChunk(ctx context.Context, chunk *ledgerv1.SnapshotChunk) error {
	ctx, cancel := context.WithTimeout(ctx, chunkSubmitTimeout)
	defer cancel()
	record := &ledgerv1.Record{Kind: &ledgerv1.Record_SnapshotChunk{SnapshotChunk: chunk}}
	_, err := c.Submit(ctx, record, Background)
	return err
}
