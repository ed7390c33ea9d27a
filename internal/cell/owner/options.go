package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// HostClient sends orders and polls to hosts.
type HostClient interface {
	Start(ctx context.Context, h *cell.Host, o platform.Start) (clockMs int64, r platform.Refusal, err error)
	Stop(ctx context.Context, h *cell.Host, task cell.TaskID, run, token int64) (clockMs int64, r platform.Refusal, err error)
	Poll(ctx context.Context, h *cell.Host, o platform.Poll) (l cell.HostReport, unreadable int, r platform.Refusal, err error)
}

// Advisor calls the platform's advice service. The service approves or denies hosts
// for a group and issues a ticket for each approved host. If the queue has an advice
// policy, a task is started only with a ticket for its host.
type Advisor interface {
	// Ask returns a ticket for each of the hosts in the call that may run the group.
	// priority is that of the queue, 0 comes first. The error is advice.ErrStale if an
	// owner with a higher fencing token has called.
	Ask(ctx context.Context, c advice.Call, priority int) (map[string]string, error)
	// Capacity returns how many calls can be in flight at one time at present.
	Capacity() cell.AdviceRoom
}

// Journal stores the owner's records under its fencing token. Store retries until
// the records are stored, the owner is fenced, the store has certainly not stored
// them and expects another sequence number, or ctx ends. The error is a
// *worklog.UnstorableError if only records are missing that can never be stored.
type Journal interface {
	Store(ctx context.Context, records []platform.Record) error
}

// Options are the identity, dependencies and limits of an owner.
type Options struct {
	Self  registry.Ownership
	Clock cell.Clock
	// WallClock returns the wall-clock time since the Unix epoch.
	WallClock func() time.Duration
	Log       *slog.Logger
	// Metrics counts orders and results.
	Metrics tally.Scope
	// Desired returns the newest desired state that this process has applied, nil before
	// the first one.
	Desired func() *cell.Desired
	// Evacuated returns the evacuated zones that this process has read, and a time such that
	// every record stored before it is among them; ok is false before the first read. It is
	// nil if there are no evacuations.
	Evacuated func() (zones *cell.EvacuatedZones, asOf time.Duration, ok bool)
	// EvacuationBound is the time within which an evacuation has to be in effect; zero for
	// no bound.
	EvacuationBound time.Duration
	// WorkAsOf returns a time such that every record of the work topic stored before it has
	// been applied; ok is false before the first read. It is nil if CancelBound is zero.
	WorkAsOf func() (asOf time.Duration, ok bool)
	// CancelBound is the time after the acknowledgement of a cancellation from which nothing
	// of the submission may start; zero for no bound.
	CancelBound time.Duration
	// RequestTakeover asks the other nodes to take over, since this one cannot read the
	// evacuated zones or the work topic; nil for nothing.
	RequestTakeover func()
	HostClient      HostClient
	Advisor         Advisor
	Journal         Journal
	// Stored returns the stored state of every submission; nil if there are none. It is
	// called once, by Run.
	Stored func() []registry.Entry
	// TombstoneKeys returns the keys of the stored tombstones, which the owner deletes after
	// RetentionPeriod; nil if there are none.
	TombstoneKeys func() []string
	// RunTimes returns what earlier owners have learned about run times; nil for nothing. It
	// is called by Run.
	RunTimes func() []byte
	// Applied returns the offset up to which this process has applied the work topic; nil if
	// it is not known.
	Applied func() uint64
	// ClaimOffset is the log offset of the claim. Submissions that cannot precede it have no
	// runs of earlier owners.
	ClaimOffset uint64
	// ClaimSent is when the claim was sent, ClaimedAt when it was known to be stored.
	ClaimSent time.Duration
	ClaimedAt time.Duration
	// EarlierOwnersGone reports whether it is known that no earlier owner can act any more.
	EarlierOwnersGone func() bool
	// EarlierOwner describes the owner before this one for the log; nil for nothing.
	EarlierOwner func() EarlierOwner
	// MaxLease is the longest lease that hosts accept; zero for no limit.
	MaxLease time.Duration
	// RetentionPeriod is how long the state of a finished submission is kept, and how long a
	// tombstone is. A submission must not be stored later than this after its caller sent it.
	RetentionPeriod time.Duration
	GangTimeout     time.Duration
	// MaxWeight bounds the work that the owner holds at one time; zero for no bound. See
	// schedule.Options.
	MaxWeight int
	Features  schedule.Features
	// Admission publishes a summary of the work that waits, on which nodes refuse submissions.
	Admission bool
}
