package logclient

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Client reads and writes the log for one node. It is safe for concurrent use.
type Client struct {
	opts    Options
	limiter *rate.Limiter
	// writerWake and snapshotWake buffer at most one signal each.
	writerWake   chan struct{}
	snapshotWake chan struct{}
	// assembler and scanOffset are the progress of a rebuild. Only the read loop
	// uses them.
	assembler  *ledger.Assembler
	scanOffset uint64

	mu sync.Mutex
	// queue holds the items that are not in a batch yet.
	queue []*item
	// pendingRecords and pendingBytes count the items that have no result yet.
	pendingRecords int
	pendingBytes   int
	// currentBatch is the batch that is being appended or waits for a retry.
	currentBatch *batch
	// unreadBatches are the batches that were appended but not yet read back, by
	// sequence number. batchSequence is the number of the current batch, or of the
	// next one if there is none.
	unreadBatches map[uint64]*batch
	batchSequence uint64
	retryBackOff  *backoff.ExponentialBackOff
	retryAt       time.Time
	// appending is true while a call to append currentBatch is in progress.
	appending    bool
	closed       bool
	replaced     bool
	lastAppendAt time.Time
	lastReadAt   time.Time
	reachedEnd   bool
}

// New returns a client. It does not access the log until Run is called.
func New(opts Options) (*Client, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{
		opts: opts, limiter: rate.NewLimiter(appendsPerSecond, appendBurst),
		writerWake: make(chan struct{}, 1), snapshotWake: make(chan struct{}, 1),
		unreadBatches: map[uint64]*batch{}, batchSequence: 1, retryBackOff: newRetryBackOff(),
	}, nil
}

func newRetryBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	b.Reset()
	return b
}

// Run reads and writes the log until ctx ends. Submit then returns an error for
// every record that is still pending. Run may be called only once.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.writeLoop(ctx) })
	group.Go(func() error { return c.readLoop(ctx) })
	group.Go(func() error { return c.snapshotLoop(ctx) })
	err := group.Wait()
	c.close()
	return err
}

// Submit appends a record and returns once the replica has applied it. Concurrent
// records are not ordered: a caller that needs an order waits for each call to
// return before the next one.
//
// The error carries a verdict. DidNotRun: the record is not in the log and never
// will be, or has no effect because a newer incarnation of the node has replaced
// this one. MayHaveRun: the record is in the log, or may be now or later.
func (c *Client) Submit(ctx context.Context, record *ledgerv1.Record, priority Priority) (Receipt, error) {
	it := &item{record: record, size: proto.Size(record), priority: priority, done: make(chan result, 1)}
	if err := c.enqueue(it); err != nil {
		return Receipt{}, err
	}
	notify(c.writerWake)
	select {
	case r := <-it.done:
		return r.receipt, r.err
	case <-ctx.Done():
		return c.abandonItem(ctx, it)
	}
}

// Contact returns the state of the connection to the log.
func (c *Client) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return Contact{
		SinceAppend: durationSince(now, c.lastAppendAt), SinceRead: durationSince(now, c.lastReadAt),
		ReachedEnd: c.reachedEnd,
		Pending:    c.pendingRecords, Replaced: c.replaced,
	}
}

func durationSince(now, t time.Time) time.Duration {
	if t.IsZero() {
		return Never
	}
	return now.Sub(t)
}

// notify sends a signal without blocking. If the buffer of the channel is full, a
// signal is pending already and this one is dropped.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// waitFor returns after d, or earlier on a signal or when ctx ends.
func waitFor(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

var (
	errClosed         = verdict.New(verdict.DidNotRun, "log-client-closed", "log client is closed")
	errReplaced       = verdict.New(verdict.DidNotRun, "node-replaced", "a newer incarnation of this node is active")
	errQueueFull      = verdict.New(verdict.DidNotRun, "log-queue-full", "too many records are waiting to be appended or read back")
	errRecordTooLarge = verdict.New(verdict.DidNotRun, "log-record-size", "record exceeds the maximum size of a batch")
	errOutcomeUnknown = verdict.New(verdict.MayHaveRun, "log-append-open", "the client closed before the log confirmed the record")
	errEffectUnknown  = verdict.New(verdict.MayHaveRun, "log-effect-unread", "the record was appended but its effect is not known")
)
