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
	// appendRate and appendBurst keep the appends of a node at 10 in any
	// second, apart from Immediate ones.
	appendRate  = 8
	appendBurst = 2
	// maxBatchBytes and maxBatchRecords bound one batch. A batch stays below
	// the largest record of the log.
	maxBatchBytes   = 512 << 10
	maxBatchRecords = 4096
	// maxUnread bounds the batches that are appended and not yet read back.
	maxUnread = 64
	// pageRecords is the number of records to ask for in one read.
	pageRecords = 256
	// firstRetry and lastRetry bound the wait after a failed call.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// chunkTimeout limits the append of one snapshot chunk.
	chunkTimeout = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	// Node and Incarnation identify the sender. A restarted node has a higher
	// incarnation.
	Node        string
	Incarnation uint64
	Log         logsvc.Log
	Replica     *ledger.Replica
	// Logger is optional.
	Logger *slog.Logger
	// Metrics is optional.
	Metrics tally.Scope
	// MaxPendingRecords and MaxPendingBytes bound the records whose fate is
	// open; the defaults are 8192 and 16 MiB.
	MaxPendingRecords int
	MaxPendingBytes   int
	// AppendTimeout limits one append; the default is 2 s.
	AppendTimeout time.Duration
	// ReadTimeout limits one read; the default is 5 s.
	ReadTimeout time.Duration
	// SnapshotEvery is the number of log records after which a snapshot is
	// due, a fifth of the retention; zero means that this node writes none.
	SnapshotEvery uint64
	// MaySnapshot tells whether this node writes a due snapshot, given the
	// members sorted by name. The default is that it is the first one.
	MaySnapshot func(members []ledger.Member) bool
}

func (o Options) withDefaults() (Options, error) {
	if o.Node == "" || o.Incarnation == 0 || o.Log == nil || o.Replica == nil {
		return o, eris.New("log client: node, incarnation, log and replica are needed")
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
	if o.MaySnapshot == nil {
		node := o.Node
		o.MaySnapshot = func(members []ledger.Member) bool {
			return len(members) > 0 && members[0].Node == node
		}
	}
	return o, nil
}
