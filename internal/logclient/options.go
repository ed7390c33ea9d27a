package logclient

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

const (
	// appendsPerSecond and appendBurst limit a node to 10 appends within any
	// second, not counting batches with Immediate records.
	appendsPerSecond = 8
	appendBurst      = 2
	// maxBatchBytes and maxBatchRecords limit one batch, which is a single record
	// of the log and must stay below the log's maximum record size.
	maxBatchBytes   = 512 << 10
	maxBatchRecords = 4096
	// maxUnreadBatches is the maximum number of batches that are appended but not
	// yet read back.
	maxUnreadBatches = 64
	// maxPageRecords is the maximum number of records to request in one read.
	maxPageRecords = 256
	// minRetryDelay and maxRetryDelay are the initial and the maximum interval of
	// the exponential backoff after a failed append or read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// chunkSubmitTimeout is the timeout for one snapshot chunk to be appended and
	// read back.
	chunkSubmitTimeout = 30 * time.Second
)

// Options configures a Client.
type Options struct {
	// Node and Incarnation identify the sender of batches. A restarted node must
	// have a higher incarnation than before.
	Node        string
	Incarnation uint64
	Log         logsvc.Log
	Replica     *ledger.Replica
	// Logger is optional; by default nothing is logged.
	Logger *slog.Logger
	// Metrics is optional; by default nothing is counted.
	Metrics tally.Scope
	// MaxPendingRecords and MaxPendingBytes limit the submitted records that have
	// no result yet; the defaults are 8192 and 16 MiB.
	MaxPendingRecords int
	MaxPendingBytes   int
	// AppendTimeout is the timeout of one append; the default is 2 s.
	AppendTimeout time.Duration
	// ReadTimeout is the timeout of one read; the default is 5 s.
	ReadTimeout time.Duration
	// SnapshotIntervalRecords is the number of log records after which the next
	// snapshot is due; it should be a fifth of the retention of the log, in
	// records. If it is zero, this node writes no snapshots.
	SnapshotIntervalRecords uint64
	// IsSnapshotWriter reports whether this node is the one that writes a due
	// snapshot, given the members sorted by name. By default the first member
	// writes it.
	IsSnapshotWriter func(members []ledger.Member) bool
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" || o.Incarnation == 0 || o.Log == nil || o.Replica == nil {
		return o, eris.New("log client: node, incarnation, log and replica are required")
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.MaxPendingRecords <= 0 {
		o.MaxPendingRecords = 8192
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = 16 << 20
	}
	if o.AppendTimeout <= 0 {
		o.AppendTimeout = 2 * time.Second
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = 5 * time.Second
	}
	if o.IsSnapshotWriter == nil {
		node := o.Node
		o.IsSnapshotWriter = func(members []ledger.Member) bool {
			return len(members) > 0 && members[0].Node == node
		}
	}
	return o, nil
}
