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

// Client is the access of one node to the log. It is safe for concurrent use.
type Client struct {
	opts    Options
	limiter *rate.Limiter
	// wakeWriter and wakeSnapshot hold at most one signal.
	wakeWriter   chan struct{}
	wakeSnapshot chan struct{}
	// found and scanned are the progress of a rebuild. Only the reader uses them.
	found   *ledger.Assembler
	scanned uint64

	mu    sync.Mutex
	queue []*item
	// records and bytes count the items whose fate is open.
	records int
	bytes   int
	// current is the batch being sent or to be sent again.
	current *batch
	// unread are the appended batches that the reader has not seen, by sequence.
	unread   map[uint64]*batch
	sequence uint64
	retry    *backoff.ExponentialBackOff
	retryAt  time.Time
	// appending is true while an append is in progress.
	appending  bool
	closed     bool
	replaced   bool
	lastAppend time.Time
	lastRead   time.Time
	reachedEnd bool
}

// New returns a client. Nothing is sent or read before Run.
func New(opts Options) (*Client, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Client{
		opts: opts, limiter: rate.NewLimiter(appendRate, appendBurst),
		wakeWriter: make(chan struct{}, 1), wakeSnapshot: make(chan struct{}, 1),
		unread: map[uint64]*batch{}, sequence: 1, retry: newRetry(),
	}, nil
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, lastRetry
	b.Reset()
	return b
}

// Run reads and writes until ctx ends. It may be called once. Records whose
// fate is open then end with an error.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.writeLoop(ctx) })
	group.Go(func() error { return c.readLoop(ctx) })
	group.Go(func() error { return c.snapshotLoop(ctx) })
	err := group.Wait()
	c.close()
	return err
}

// Submit appends a record and returns once the replica has applied it. Records
// of one caller that have to stay in order are submitted one after the other.
//
// The error carries a verdict. DidNotRun: the record is not in the log and
// will not be, or has no effect because a newer incarnation of the node has
// taken over. MayHaveRun: it may be in the log or get there.
func (c *Client) Submit(ctx context.Context, record *ledgerv1.Record, priority Priority) (Receipt, error) {
	it := &item{record: record, size: proto.Size(record), priority: priority, done: make(chan result, 1)}
	if err := c.enqueue(it); err != nil {
		return Receipt{}, err
	}
	signal(c.wakeWriter)
	select {
	case r := <-it.done:
		return r.receipt, r.err
	case <-ctx.Done():
		return c.abandon(ctx, it)
	}
}

// Contact returns when the log was reached last.
func (c *Client) Contact() Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return Contact{
		SinceAppend: since(now, c.lastAppend), SinceRead: since(now, c.lastRead),
		ReachedEnd: c.reachedEnd,
		Pending:    c.records, Replaced: c.replaced,
	}
}

func since(now, t time.Time) time.Duration {
	if t.IsZero() {
		return Never
	}
	return now.Sub(t)
}

// signal leaves one signal in the channel.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for d, a signal or the end of ctx.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

var (
	errClosed   = verdict.New(verdict.DidNotRun, "log-client-closed", "log client is closed")
	errReplaced = verdict.New(verdict.DidNotRun, "node-replaced", "a newer incarnation of this node is active")
	errFull     = verdict.New(verdict.DidNotRun, "log-queue-full", "too many records wait for the log")
	errSize     = verdict.New(verdict.DidNotRun, "log-record-size", "record is larger than a batch")
	errUnknown  = verdict.New(verdict.MayHaveRun, "log-append-open", "the client closed before the log confirmed the record")
	errMissed   = verdict.New(verdict.MayHaveRun, "log-effect-unread", "the record was appended but its effect was not read")
)
