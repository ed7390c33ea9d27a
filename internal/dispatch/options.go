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
	// Outcomes logs fixed outcomes.
	Outcomes(ctx context.Context, records ...*ledgerv1.Outcomes) error
	// Intents logs intents and returns those that took effect. Only they allow a start.
	Intents(ctx context.Context, record *ledgerv1.Intents) (effective map[work.AttemptID]bool, err error)
}

// Options are what a Shard needs. Fenced, Started and QuietUntil may be left out.
type Options struct {
	Shard string
	// Token is the fencing token of the claim.
	Token uint64
	// SafeAt is when, on Clock, the authority of the previous owner is over
	// for certain. Leases that it granted can only run down from then on.
	SafeAt time.Duration
	// QuietUntil is when, on Clock, a start that this process sent under the
	// same token before an interruption can no longer take effect. No host is
	// adopted before, because its report could miss such a start. Zero if there
	// was no interruption.
	QuietUntil time.Duration
	// Clock is the monotonic clock of the process.
	Clock func() time.Duration
	// Authority reports whether this process may still act for the shard.
	Authority func() bool
	Workers   worker.Client
	Log       Recorder
	// Offer is called, without a lock held, with tasks that do not fit here.
	Offer func(scheduler.OfferTasks)
	// Fenced is called once when a worker has seen a higher token.
	Fenced func(token uint64)
	// Interval is the longest time between two exchanges with a worker.
	Interval  time.Duration
	Scheduler *scheduler.Scheduler
	Logger    *slog.Logger
	Scope     tally.Scope
	// Started is called for each start that a worker confirmed. It must not block.
	Started func(s scheduler.StartTask)
}

const (
	// decideInterval bounds the time between two decisions while nothing happens.
	decideInterval = 100 * time.Millisecond
	// outcomeInterval collects outcomes for one log record.
	outcomeInterval = 500 * time.Millisecond
	// maxOutcomesPerRecord bounds the size of a record.
	maxOutcomesPerRecord = 5000
	// quietPoll is the time between two exchanges before QuietUntil.
	quietPoll = 500 * time.Millisecond
	// answerAllowance is how long an answer may take beyond the time that the
	// worker was allowed to hold it. A connection that is silent for longer is dropped.
	answerAllowance = 2 * time.Second
	// unreachableAfter is the number of failed exchanges in a row after which a
	// host takes no new tasks.
	unreachableAfter = 2
	// forgetAfter is the silence after which a host that was never adopted and
	// that the host list does not show is given up.
	forgetAfter = time.Minute
	// minBackoff and maxBackoff bound the pause after a failed exchange.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxResends bounds how often a start is sent again after an old stamp.
	maxResends = 3
	// maxStartsPerExchange bounds one message to a worker.
	maxStartsPerExchange = 64
)
