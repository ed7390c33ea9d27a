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
	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/front"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
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
	// workLongPollTimeout is how long the store may hold a read of the work topic
	// open when there is no new record.
	workLongPollTimeout = 400 * time.Millisecond
	// ownerBatchInterval and followerBatchInterval are the waits after a read of the
	// work topic that returned records, so that the next read returns many.
	ownerBatchInterval    = 5 * time.Millisecond
	followerBatchInterval = 70 * time.Millisecond
	// desiredLongPollTimeout is how long the store may hold a read of the desired
	// state open. Each answer proves that the state was fresh when the read was
	// sent.
	desiredLongPollTimeout = 500 * time.Millisecond
	// desiredTimeoutMargin is added to desiredLongPollTimeout to get the timeout of a
	// read of the desired state. It is short, so that a connection without answers
	// cannot hide a change for longer than the time within which the change has to
	// take effect.
	desiredTimeoutMargin = 600 * time.Millisecond
	// disconnectedThreshold is the age of the last read of the work topic above
	// which calls are forwarded to other nodes. A read that waits for a record
	// takes up to workLongPollTimeout.
	disconnectedThreshold = 900 * time.Millisecond
	// maxSubmissionStateAge is the greatest age at which the state of submissions may be
	// reported to callers.
	maxSubmissionStateAge = 2 * time.Second
	// storageDivisor is the part of the memory of a process that stored submissions may take.
	storageDivisor = 4
	// slowApplyThreshold is the time to apply a page of the work topic from which it is
	// logged, at most once in slowApplyLogInterval.
	slowApplyThreshold   = 200 * time.Millisecond
	slowApplyLogInterval = time.Second
)

// Node is one node of a cell: the process that serves callers.
type Node struct {
	settings  config.Settings
	log       *slog.Logger
	clock     cell.Clock
	startedAt time.Duration
	self      membership.Node
	store     *platform.Store
	// storeMeter measures the answers of the store.
	storeMeter *latency.Meter
	hostClient *platform.HostClient
	advice     *advice.Gate
	pool       *peers.Pool

	registry      *registry.Registry
	members       *membership.Table
	workReader    *worklog.TopicReader
	desiredReader *worklog.TopicReader
	nodesReader   *worklog.TopicReader
	workAppender  *worklog.Appender
	// heartbeatAppender stores the heartbeats of this node.
	heartbeatAppender *worklog.Appender
	metrics           tally.Scope
	metricsHandler    http.Handler
	slowApply         rate.Sometimes
	callerHandler     *front.Handler
	intake            *clientIntake
	// admission is nil if submissions are not refused for the load.
	admission *admissionGate

	desired     atomic.Pointer[appliedDesired]
	evacuations *evacuations
	draining    atomic.Bool
	// following is set once this node follows the work topic, left when it shuts
	// down. After a change of either, triggerHeartbeat publishes it at once.
	following, left atomic.Bool
	// restarted is set if the nodes topic holds a record of an earlier process of
	// this node.
	restarted atomic.Bool
	// replaced lists the other processes of this node that are known to have ended; see
	// membership.Node. It is nil before the first read of the nodes topic.
	replaced atomic.Pointer[[]string]
	// heartbeatNow ends the wait before the next heartbeat.
	heartbeatNow chan struct{}
	// exitedOwnerInstance is the instance ID of the last owner whose process is
	// known to have exited. probingOwner is set while a probe of the owner runs.
	exitedOwnerInstance atomic.Pointer[string]
	probingOwner        atomic.Bool
	// takeoverToken is the token of the last owner that asked the others to take
	// over.
	takeoverToken atomic.Int64

	// mu guards the fields below. term and claim are nil if there is none.
	mu    sync.Mutex
	term  *term
	claim *claim
	// taken is the highest token that the store refused to this node, since another
	// node had claimed it.
	taken tokenAt
	// ownerAnswer is the token of the last owner that answered that it acts, and when
	// it was asked.
	ownerAnswer tokenAt
	// termGoroutines counts the running goroutines of terms.
	termGoroutines sync.WaitGroup
}

// New assembles a node; Run starts it. The error is that of the
// source of random numbers, or of the limits of the process.
func New(s config.Settings, log *slog.Logger) (*Node, error) {
	instanceID := make([]byte, 8)
	if _, err := rand.Read(instanceID); err != nil {
		return nil, eris.Wrap(err, "generate instance ID")
	}
	n := &Node{
		settings: s, log: log, clock: boottime.Clock{}, heartbeatNow: make(chan struct{}, 1),
		self:       membership.Node{Name: s.Node.Name, InstanceID: hex.EncodeToString(instanceID), Address: s.Listen.Peers, Zone: s.Node.Zone, Cores: s.Limits.Cores},
		store:      platform.NewStore(s.Platform.Store),
		hostClient: platform.NewHostClient(),
		slowApply:  rate.Sometimes{Interval: slowApplyLogInterval},
	}
	componentLogger := func(name string) *slog.Logger { return logging.WithComponent(log, name) }
	n.advice = advice.NewGate(platform.NewAdvice(s.Platform.Advice), n.clock, componentLogger("advice"))
	n.metrics, n.metricsHandler = metrics.NewScope(s.Node.Name)
	n.registry = registry.New(componentLogger("registry"))
	n.members = membership.NewTable(componentLogger("members"))
	n.pool = peers.NewPool(n.clock, componentLogger("peers"), s.Node.Name, n)
	n.pool.StoreAnswerTime = n.StoreAnswerTime
	n.startedAt = n.clock.Now()
	producer := n.self.Name + "/" + n.self.InstanceID
	n.storeMeter = latency.New()
	n.workAppender = worklog.NewAppender(n.workTarget("append", n.self.Name), producer)
	n.heartbeatAppender = worklog.NewAppender(worklog.Target{
		Store: n.store, Clock: n.clock, Meter: n.storeMeter, Log: componentLogger("append"), Topic: platform.TopicNodes,
	}, producer)
	n.workReader = worklog.NewTopicReader(n.store, n.clock, componentLogger("follow"), worklog.Options{
		Topic: platform.TopicWork, Wait: workLongPollTimeout, BatchInterval: n.workBatchInterval, Meter: n.storeMeter, OnFault: n.abortTerm,
		RetryAtOnce: s.Bounds.CancelMs > 0, // starts are held while the last read is too old
	}, n.applyWork)
	n.evacuations = newEvacuations(log, n.metrics)
	n.desiredReader = worklog.NewTopicReader(n.store, n.clock, componentLogger("follow"), n.desiredReaderOptions(), n.applyDesired)
	n.nodesReader = worklog.NewTopicReader(n.store, n.clock, componentLogger("follow"), worklog.Options{
		Topic: platform.TopicNodes, Wait: nodesLongPollTimeout, BatchInterval: n.nodesBatchInterval, Meter: n.storeMeter,
	}, n.applyNodes)
	n.callerHandler = &front.Handler{State: n, Records: relayAppender{n}, Forwarder: forwarder{n}, MaxStorage: s.Limits.MemoryBytes() / storageDivisor, Logger: componentLogger("front"), WallClock: wallClock, Metrics: n.metrics}
	var err error
	if n.intake, err = newClientIntake(s, log); err != nil {
		return nil, err
	}
	n.callerHandler.Bodies = n.intake.bodies
	if s.Scheduling.Admission {
		n.admission = &admissionGate{node: n}
		n.callerHandler.Admission = n.admission
		n.pool.ForwardByPath = true
	}
	return n, nil
}

// workTarget returns the target of appends to the work topic. appender is the name
// of the appender in the marks of its appends.
func (n *Node) workTarget(component, appender string) worklog.Target {
	return worklog.Target{
		Store: n.store, Clock: n.clock, Meter: n.storeMeter, Log: logging.WithComponent(n.log, component), Topic: platform.TopicWork,
		Mark: func(p platform.Producer) platform.Record { return registry.MarkRecord(appender, n.self.InstanceID, p) },
	}
}

// workBatchInterval returns the wait after a read of the work topic that returned
// records.
func (n *Node) workBatchInterval() time.Duration {
	if n.owner() != nil {
		return ownerBatchInterval
	}
	return followerBatchInterval
}

// owner returns the owner that runs in this process, or nil if this node does
// not own the cell.
func (n *Node) owner() *owner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term == nil {
		return nil
	}
	return n.term.owner
}

// journal returns the journal of this node's claim or term, nil if there is none.
func (n *Node) journal() *worklog.Journal {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.term != nil:
		return n.term.claim.journal
	case n.claim != nil:
		return n.claim.journal
	}
	return nil
}

// applyWork applies records of the work topic. A term begins at the record of its
// claim, before later records are applied. At the first read, and after the history
// has been trimmed, the page holds the newest record of each key; see applyNewestWork.
func (n *Node) applyWork(p worklog.Page) {
	startedAt := n.clock.Now()
	if n.admission != nil {
		n.admission.observe(p)
	}
	defer func() {
		if took := n.clock.Now() - startedAt; took > slowApplyThreshold {
			n.slowApply.Do(func() {
				n.log.Warn("follow: Records of the work topic were applied slowly.", "records", len(p.Records), "took", took)
			})
		}
	}()
	n.workAppender.Observe(p.Records)
	if j := n.journal(); j != nil {
		j.Observe(p.Records)
	}
	if p.NewestOnly {
		n.applyNewestWork(p)
		return
	}
	for _, r := range p.Records {
		worklog.ApplyRecord(n.log, r, n.registry.Apply)
		if registry.IsOwnership(r) {
			n.endFormerTerm()
			n.beginClaimedTerm(r.Offset)
		}
	}
	if k, offset := len(p.Records), n.registry.OwnerOffset(); k > 0 && offset <= p.Records[k-1].Offset {
		n.beginClaimedTerm(offset) // it may have waited for submissions that were read ahead
	}
}

// Forward implements peers.Handler: it answers a caller's call for another node.
// The status is 503 if this node cannot answer either, and 504 if it may store the submission
// by an earlier attempt.
func (n *Node) Forward(ctx context.Context, r *peers.CallRequest) (*peers.CallResponse, error) {
	if n.Disconnected() || !n.hasDesiredVersion(ctx, r.DesiredVersion) {
		return n.callerHandler.UnlessStored(r.Method, r.Path, &peers.CallResponse{Status: http.StatusServiceUnavailable}), nil
	}
	a := n.callerHandler.AnswerForwarded(ctx, r)
	if d := n.desired.Load(); d.Version > r.DesiredVersion {
		a.Desired = d.record
	}
	return a, nil
}

// forwarder forwards calls to other nodes and applies their desired state if it is
// newer: a caller that was answered under one version must not be answered under
// an older one later.
type forwarder struct{ node *Node }

// Forward implements front.Forwarder.
func (f forwarder) Forward(ctx context.Context, r *peers.CallRequest) (*peers.CallResponse, error) {
	copied := *r
	if d := f.node.desired.Load(); d != nil {
		copied.DesiredVersion = d.Version
	}
	a, err := f.node.pool.Forward(ctx, &copied)
	if err == nil && a.Desired != nil {
		f.node.applyDesiredRecord(a.Desired, "peer")
	}
	return a, err
}

// HandleTakeoverRequest implements peers.Handler. A node whose own reads fail
// ignores the request: it cannot tell an outage of the store from a broken
// connection between the owner and the store. So does one that could not start tasks, as
// it cannot read the evacuated zones.
func (n *Node) HandleTakeoverRequest(_ context.Context, r *peers.TakeoverRequest) (*peers.TakeoverResponse, error) {
	if !n.workReader.Failing() && n.evacuatedZonesProven() {
		n.takeoverToken.Store(r.Token)
	}
	return &peers.TakeoverResponse{}, nil
}

// Find implements front.State.
func (n *Node) Find(id string) (registry.Entry, bool) { return n.registry.Find(id) }

// Storage implements front.State.
func (n *Node) Storage(team string) (total, ofTeam int64) { return n.registry.Storage(team) }

// Pending implements front.State.
func (n *Node) Pending(belongs func(accepted *cell.Queue) bool) int {
	return n.registry.Pending(belongs)
}

// CatchUp implements front.State.
func (n *Node) CatchUp(ctx context.Context) error { return n.workReader.CatchUp(ctx) }

// Disconnected implements front.State. It is true also on a node that does not
// follow the work topic, so that such a node forwards every call.
func (n *Node) Disconnected() bool {
	asOf, ok := n.workReader.AsOf()
	return !ok || n.workReader.Failing() || n.clock.Now()-asOf > disconnectedThreshold
}

// SubmissionsFresh implements front.State.
func (n *Node) SubmissionsFresh() bool {
	asOf, ok := n.workReader.AsOf()
	return ok && n.clock.Now()-asOf < maxSubmissionStateAge
}

// ready reports whether the node can serve callers: it has a fresh desired state,
// a fresh state of submissions or a peer to forward to, and is not shutting down.
func (n *Node) ready() bool {
	d, fresh := n.Desired()
	return d != nil && fresh && (n.SubmissionsFresh() || n.pool.CanForward()) && !n.draining.Load()
}
