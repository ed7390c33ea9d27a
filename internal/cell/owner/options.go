package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Runners sends orders to hosts.
type Runners interface {
	Start(ctx context.Context, h *cell.Host, o platform.Start) (clockMs int64, r platform.Refusal, err error)
	Stop(ctx context.Context, h *cell.Host, task cell.TaskID, run, token int64) (clockMs int64, r platform.Refusal, err error)
	Hold(ctx context.Context, h *cell.Host, o platform.Hold) (l cell.Listing, unread int, r platform.Refusal, err error)
}

// Advisor asks the advice service.
type Advisor interface {
	Ask(ctx context.Context, group cell.GroupID, hosts []string, cost time.Duration, priority int) (map[string]string, error)
}

// Journal stores the owner's records under its token, until it is stored or
// the owner is fenced.
type Journal interface {
	Store(ctx context.Context, records []platform.Record) error
}

// Options are what an owner needs.
type Options struct {
	Self  registry.Owner
	Clock cell.Clock
	Wall  func() time.Duration
	Log   *slog.Logger
	// Metrics counts orders and ends.
	Metrics tally.Scope
	Runners Runners
	Advisor Advisor
	Journal Journal
	// ClaimOffset is that of the claim: later submissions have no earlier runs.
	ClaimOffset uint64
	// ClaimSent is when the claim was sent, ClaimedAt when it was known to be stored.
	ClaimSent time.Duration
	ClaimedAt time.Duration
	// FormerGone reports whether the process of the former owner is known to be over.
	FormerGone func() bool
	// MaxLease bounds the lease that hosts accept.
	MaxLease time.Duration
	// KeepFor is how long the state of an ended submission is kept.
	KeepFor     time.Duration
	GangTimeout time.Duration
}
