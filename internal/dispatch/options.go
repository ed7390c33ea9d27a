package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Recorder appends records to the log. It returns once the records have been
// read back, or with an error that carries a verdict.
type Recorder interface {
	// Outcomes logs outcomes of tasks.
	Outcomes(ctx context.Context, records ...*ledgerv1.Outcomes) error
	// Intents logs the intents to start non-idempotent tasks and returns those that
	// took effect. Only an attempt with an effective intent may be started.
	Intents(ctx context.Context, record *ledgerv1.Intents) (effective map[work.AttemptID]bool, err error)
}

// Options configure a Dispatcher. Fenced, Started and AdoptNotBefore are
// optional.
type Options struct {
	Shard string
	// Token is the fencing token of the claim.
	Token uint64
	// PreviousAuthorityEndsBy is the time on Clock by which the authority of the
	// previous owner has certainly ended. From then on the leases that it granted
	// are no longer renewed.
	PreviousAuthorityEndsBy time.Duration
	// AdoptNotBefore is the time on Clock from which a start that this process sent
	// under the same token before an interruption can no longer take effect. No
	// host is adopted earlier, because its report could miss such a start. Zero
	// if there was no interruption.
	AdoptNotBefore time.Duration
	// Clock is the monotonic clock of the process.
	Clock func() time.Duration
	// Authority reports whether this process still has authority over the shard.
	Authority func() bool
	Workers   worker.Client
	Log       Recorder
	// Offer is called with tasks that find no capacity in this shard, so that they
	// can be moved. No lock is held during the call.
	Offer func(scheduler.OfferTasks)
	// Fenced is called once, in its own goroutine, when a worker knows a higher
	// fencing token. Package node does not set it.
	Fenced func(token uint64)
	// MaxExchangeInterval is the maximum time between two exchanges with a worker:
	// the worker may hold a long poll for this long.
	MaxExchangeInterval time.Duration
	Scheduler           *scheduler.Scheduler
	Logger              *slog.Logger
	Scope               tally.Scope
	// Started is called for each start that a worker confirmed. It must not block.
	Started func(s scheduler.StartTask)
}

const (
	// maxDecisionInterval is the maximum time between two scheduling passes when
	// there are no events.
	maxDecisionInterval = 100 * time.Millisecond
	// outcomeFlushInterval is the interval at which collected outcomes are logged.
	outcomeFlushInterval = 500 * time.Millisecond
	// maxOutcomesPerRecord is the maximum number of outcomes that are logged at
	// once; it bounds the size of a log record.
	maxOutcomesPerRecord = 5000
	// preAdoptionPollInterval is the pause between two polls before
	// AdoptNotBefore.
	preAdoptionPollInterval = 500 * time.Millisecond
	// responseTimeoutMargin is how long a response may take beyond the time for
	// which the worker may hold it. A connection without a response for longer is
	// dropped.
	responseTimeoutMargin = 2 * time.Second
	// unreachableThreshold is the number of consecutive failed exchanges after
	// which a host counts as unreachable and gets no new tasks.
	unreachableThreshold = 2
	// unadoptedHostTimeout is the time without a response after which a host that
	// was never adopted and that is not in the host list is removed.
	unadoptedHostTimeout = time.Minute
	// minBackoff and maxBackoff are the bounds of the backoff after a failed
	// exchange.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxResends is how often a start is sent again after the worker refused it
	// because its stamp was too old.
	maxResends = 3
	// maxStartsPerExchange is the maximum number of starts in one request to a
	// worker.
	maxStartsPerExchange = 64
)
