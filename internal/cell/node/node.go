package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/front"
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/metrics"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// workWait is how long the store holds back a read of the work topic.
	workWait = 400 * time.Millisecond
	// ownerPace and followerPace group the records of the work topic.
	ownerPace    = 5 * time.Millisecond
	followerPace = 70 * time.Millisecond
	// desiredWait is how long the store holds back a read of the desired state.
	// An answer proves that the state was fresh when the read was sent.
	desiredWait = 500 * time.Millisecond
	// desiredSlack keeps a silent connection from hiding a change for longer than
	// the time in which it has to be in force.
	desiredSlack = 600 * time.Millisecond
	// revokeMargin is left of the time in which a withdrawn key must stop working.
	revokeMargin = 700 * time.Millisecond
	// refreshAfter is the age at which the desired state is read again before a
	// call is answered, and refreshFor bounds that read.
	refreshAfter = 1200 * time.Millisecond
	refreshFor   = 400 * time.Millisecond
	// cutAfter is the age of the last read at which other nodes are asked. A read
	// that waits for a record takes up to workWait.
	cutAfter = 900 * time.Millisecond
	// currentWithin is how old the state of submissions may be to be told.
	currentWithin = 2 * time.Second
)

// Node is one entry process.
type Node struct {
	s       config.Settings
	log     *slog.Logger
	clock   cell.Clock
	begun   time.Duration
	self    membership.Node
	store   *platform.Store
	runners *platform.Runners
	advice  *platform.Advice
	pool    *peers.Pool

	registry *registry.Registry
	members  *membership.Table
	work     *worklog.Follower
	desires  *worklog.Follower
	nodes    *worklog.Follower
	appender *worklog.Appender
	// announcer stores the heartbeats of this node.
	announcer *worklog.Appender
	metrics   tally.Scope
	scrape    http.Handler
	front     *front.Front

	desired  atomic.Pointer[inForce]
	draining atomic.Bool
	// following is set once this node follows the work topic, left by its planned
	// stop. announce is told of changes of either.
	following, left atomic.Bool
	// returning is set if an earlier life of this node is known.
	returning atomic.Bool
	changed   chan struct{}
	// ended is the boot of an owner whose process has ended; probing is set while
	// that is found out.
	ended   atomic.Pointer[string]
	probing atomic.Bool
	// yielded is the token of an owner that cannot go on.
	yielded atomic.Int64

	mu    sync.Mutex
	term  *term
	claim *claim
	terms sync.WaitGroup
}

// New prepares a process.
func New(s config.Settings, log *slog.Logger) (*Node, error) {
	boot := make([]byte, 8)
	if _, err := rand.Read(boot); err != nil {
		return nil, eris.Wrap(err, "boot id")
	}
	n := &Node{
		s: s, log: log, clock: boottime.Clock{}, changed: make(chan struct{}, 1),
		self:    membership.Node{Name: s.Node.Name, Boot: hex.EncodeToString(boot), Address: s.Listen.Peers, Zone: s.Node.Zone, Power: s.Limits.Cores},
		store:   platform.NewStore(s.Platform.Store),
		runners: platform.NewRunners(),
		advice:  platform.NewAdvice(s.Platform.Advice),
	}
	part := func(name string) *slog.Logger { return logging.Part(log, name) }
	n.metrics, n.scrape = metrics.NewScope(s.Node.Name)
	n.registry = registry.New(part("registry"))
	n.members = membership.NewTable(part("members"))
	n.pool = peers.NewPool(n.clock, part("peers"), s.Node.Name, n)
	n.begun = n.clock.Now()
	producer := n.self.Name + "/" + n.self.Boot
	n.appender = worklog.NewAppender(n.store, part("append"), platform.TopicWork, producer)
	n.announcer = worklog.NewAppender(n.store, part("append"), platform.TopicNodes, producer)
	n.work = worklog.NewFollower(n.store, n.clock, part("follow"), worklog.Options{
		Topic: platform.TopicWork, Wait: workWait, Pace: n.pace,
	}, n.applyWork)
	n.desires = worklog.NewFollower(n.store, n.clock, part("follow"), worklog.Options{
		Topic: platform.TopicDesired, Wait: desiredWait, Slack: desiredSlack,
	}, n.applyDesired)
	n.nodes = worklog.NewFollower(n.store, n.clock, part("follow"), worklog.Options{
		Topic: platform.TopicNodes, Wait: nodesWait, Pace: n.nodesPacing,
	}, n.applyNodes)
	n.front = &front.Front{State: n, Records: n.appender, Peers: forwarder{n}, Logger: part("front"), Wall: wall, Metrics: n.metrics}
	return n, nil
}

func (n *Node) pace() time.Duration {
	if n.owner() != nil {
		return ownerPace
	}
	return followerPace
}

func (n *Node) owner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term == nil {
		return nil
	}
	return n.term.owner
}

// applyDesired applies records that operators wrote.
func (n *Node) applyDesired(p worklog.Page) {
	for _, r := range p.Records {
		if r.Key == platform.KeyDesired {
			n.adoptDesired(r.Value, "store")
		}
	}
}

// inForce is a desired state with the record that it was decoded from.
type inForce struct {
	*cell.Desired
	record []byte
}

// adoptDesired puts a desired state in force, unless a newer one already is.
func (n *Node) adoptDesired(record []byte, from string) {
	d, err := platform.DecodeDesired(record)
	if err != nil {
		n.log.Error("node: A desired state cannot be read and is ignored.", "from", from, "error", err)
		return
	}
	for {
		old := n.desired.Load()
		if old != nil && d.Version <= old.Version {
			return
		}
		if n.desired.CompareAndSwap(old, &inForce{d, record}) {
			break
		}
	}
	n.log.Info("node: A desired state is in force.", "version", d.Version, "from", from, "queues", len(d.Queues), "teams", len(d.Teams))
	if o := n.owner(); o != nil {
		o.SetDesired(d)
	}
}

// applyWork applies records of the work topic, and begins a term at the very
// record that claims it. The newest records of a topic whose history is gone come
// in the order of their keys, so that a term begins after all of them.
func (n *Node) applyWork(p worklog.Page) {
	var claimed *platform.Record
	for _, r := range p.Records {
		n.registry.Apply(r)
		switch {
		case !registry.IsOwner(r):
		case p.Rebuilt:
			claimed = &r
		default:
			n.ownerRead(r.Offset)
		}
	}
	if claimed != nil {
		n.ownerRead(claimed.Offset)
	}
}

// Advise implements peers.Handler.
func (n *Node) Advise(ctx context.Context, r *peers.AdviseRequest) (*peers.AdviseResponse, error) {
	tickets, err := n.advice.Ask(ctx, r.Group, r.Hosts)
	return &peers.AdviseResponse{Tickets: tickets}, err
}

// Forward implements peers.Handler: it answers a call for another node.
func (n *Node) Forward(ctx context.Context, r *peers.ForwardRequest) (*peers.ForwardResponse, error) {
	if n.Cut() || !n.knows(ctx, r.Version) {
		return &peers.ForwardResponse{Status: http.StatusServiceUnavailable}, nil
	}
	a := n.front.Answer(ctx, r, nil)
	if d := n.desired.Load(); d.Version > r.Version {
		a.Desired = d.record
	}
	return a, nil
}

// knows reports whether a version of the desired state, or a newer one, is in
// force here. It reads the topic again if the caller's node knows more.
func (n *Node) knows(ctx context.Context, version int64) bool {
	if d := n.desired.Load(); d != nil && d.Version >= version {
		return true
	}
	n.readDesired(ctx)
	d := n.desired.Load()
	return d != nil && d.Version >= version
}

// forwarder lets other nodes answer calls, and keeps up with their desired state:
// a caller that saw a version must not be answered by an older one.
type forwarder struct{ node *Node }

// Forward implements front.Peers.
func (f forwarder) Forward(ctx context.Context, r *peers.ForwardRequest) (*peers.ForwardResponse, error) {
	copied := *r
	if d := f.node.desired.Load(); d != nil {
		copied.Version = d.Version
	}
	a, err := f.node.pool.Forward(ctx, &copied)
	if err == nil && a.Desired != nil {
		f.node.adoptDesired(a.Desired, "peer")
	}
	return a, err
}

// Yield implements peers.Handler. A node that does not reach the store itself
// cannot tell an outage of the store from one of the owner's way to it.
func (n *Node) Yield(_ context.Context, r *peers.YieldRequest) (*peers.YieldResponse, error) {
	if !n.work.Failing() {
		n.yielded.Store(r.Token)
	}
	return &peers.YieldResponse{}, nil
}

// Desired implements front.State.
func (n *Node) Desired() (d *cell.Desired, fresh bool) {
	asOf, ok := n.desires.AsOf()
	age := n.clock.Now() - asOf
	inForce := n.desired.Load()
	if inForce == nil {
		return nil, false
	}
	return inForce.Desired, ok && age < config.Millis(n.s.Bounds.RevokeMs)-revokeMargin
}

// Refresh implements front.State.
func (n *Node) Refresh(ctx context.Context) {
	asOf, ok := n.desires.AsOf()
	if !ok || n.clock.Now()-asOf < refreshAfter {
		return
	}
	n.readDesired(ctx)
}

// readDesired reads the desired state again, for at most refreshFor.
func (n *Node) readDesired(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshFor)
	defer cancel()
	if err := n.desires.CatchUp(ctx); err != nil {
		n.log.Debug("node: The desired state is not refreshed.", "error", err)
	}
}

// Find implements front.State.
func (n *Node) Find(id string) (registry.Entry, bool) { return n.registry.Find(id) }

// Pending implements front.State.
func (n *Node) Pending(queue string) int { return n.registry.Pending(queue) }

// CatchUp implements front.State.
func (n *Node) CatchUp(ctx context.Context) error { return n.work.CatchUp(ctx) }

// Cut implements front.State. A node that does not follow the work topic passes
// every call on.
func (n *Node) Cut() bool {
	asOf, ok := n.work.AsOf()
	return !ok || n.work.Failing() || n.clock.Now()-asOf > cutAfter
}

// Current implements front.State.
func (n *Node) Current() bool {
	asOf, ok := n.work.AsOf()
	return ok && n.clock.Now()-asOf < currentWithin
}

// ready reports whether the node can serve callers.
func (n *Node) ready() bool {
	d, fresh := n.Desired()
	return d != nil && fresh && (n.Current() || n.pool.CanForward()) && !n.draining.Load()
}
