package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/metrics"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/peer"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/requests"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// Node is one entry node of the cluster.
type Node struct {
	settings    settings.Settings
	baseLog     *slog.Logger
	log         *slog.Logger
	clock       clock
	incarnation uint64
	scope       tally.Scope
	metrics     http.Handler

	logService *logsvc.Client
	hostList   *hostlist.Client
	workers    *worker.HTTPClient
	runners    *runner.HTTPClient

	replica        *ledger.Replica
	logClient      *logclient.Client
	configurations *configurations
	hosts          *hostView
	jobEvents      *jobEvents
	announced      *announcements
	members        *members
	peerTracker    *peerTracker
	waitTimes      *waitHistograms
	ownership      *ownershipDriver
	shards         *shards
	gangs          *gangs
	peers          *peer.Pool
	peerCounts     *peer.Counts
	requests       *requests.Server
	gateway        *gateway.Server

	httpListener net.Listener
	opsListener  net.Listener
	peerListener net.Listener
	peerServer   *peer.Server

	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	servable       atomic.Bool
	evicted        atomic.Bool
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New returns a node that listens on its addresses but does not serve until Run.
// It fails if a client cannot be created or an address cannot be listened on.
func New(s settings.Settings, base *slog.Logger) (*Node, error) {
	n := &Node{
		settings: s, baseLog: base, log: logging.WithComponent(base, "node"), clock: clock{time.Now()},
		incarnation: uint64(time.Now().UnixNano()), drainRequested: make(chan struct{}),
		configurations: newConfigurations(), hosts: &hostView{}, announced: newAnnouncements(), jobEvents: newJobEvents(),
		waitTimes: newWaitHistograms(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.scope, n.metrics = metrics.NewScope(s.Node.Name)
	if err := n.connect(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.assemble()
	if err := n.newGateway(); err != nil {
		return nil, err
	}
	return n, nil
}

// connect creates the clients of the platform services and of the log.
func (n *Node) connect() (err error) {
	p := n.settings.Platform
	if n.logService, err = logsvc.NewClient(p.LogURL, logsvc.Options{AppendTimeout: p.LogTimeout}); err != nil {
		return err
	}
	if n.hostList, err = hostlist.NewClient(p.HostListURL, 0); err != nil {
		return err
	}
	n.workers = worker.NewHTTPClient()
	n.replica = ledger.NewReplica(ledgerOptions())
	n.logClient, err = logclient.New(logclient.Options{
		Node: n.settings.Node.Name, Incarnation: n.incarnation, Log: n.logService, Replica: n.replica,
		Logger: n.baseLog, Metrics: n.scope.SubScope("log"), SnapshotIntervalRecords: snapshotIntervalRecords,
	})
	return err
}

// snapshotIntervalRecords is the number of log records between two snapshots. At
// 100 appends per second it is one snapshot every 30 s, far below any retention
// of the log.
const snapshotIntervalRecords = 3000

// listen opens the listeners before the node joins, so that their addresses are
// known by then.
func (n *Node) listen() (err error) {
	if n.httpListener, err = net.Listen("tcp", n.settings.Listen.HTTP); err != nil {
		return eris.Wrap(err, "listen.http")
	}
	if n.opsListener, err = net.Listen("tcp", n.settings.Listen.Metrics); err != nil {
		return eris.Wrap(err, "listen.metrics")
	}
	if n.peerListener, err = net.Listen("tcp", n.settings.Listen.Peer); err != nil {
		return eris.Wrap(err, "listen.peer")
	}
	return nil
}

// assemble creates the components that depend on one another.
func (n *Node) assemble() {
	n.peerCounts = peer.NewCounts(n.scope.SubScope("peer"))
	n.peers = peer.NewPool(n.peerCounts)
	n.peerServer = peer.NewServer(&peerHandler{node: n}, n.peerCounts)
	n.peerTracker = &peerTracker{tracker: membership.New(membership.Peer{Node: n.settings.Node.Name, Incarnation: n.incarnation}, n.clock.Now())}
	n.members = newMembers(n)
	n.shards = newShards(n)
	n.gangs = newGangs(n)
	self := ownership.Identity{Node: n.settings.Node.Name, Incarnation: n.incarnation}
	n.ownership = &ownershipDriver{
		clock: n.clock, replica: n.replica, client: n.logClient, record: recorder{n.logClient}, peers: n.peers,
		self: self, log: logging.WithComponent(n.baseLog, "ownership"),
		manager: ownership.New(ownership.Config{
			Self: self, Zone: n.settings.Node.Zone, Nodes: n.settings.Cluster.Nodes, Started: n.clock.Now(),
		}),
		pendingReplies: map[uint64]chan ownership.Action{}, wake: make(chan struct{}, 1), leaveReady: make(chan struct{}),
		actions: make(chan ownership.Action, maxQueuedShardActions), ctx: n.ctx,
		start: n.shards.start, stop: n.shards.stop, quiesce: n.shards.quiesce,
	}
	n.runners = runner.NewHTTPClient(n.runnerOptions())
	n.requests = requests.New(n.requestOptions(), keyAuthenticator{n}, n.members, n.peers, n.runners, n.clock)
	n.replica.Subscribe(n.ledgerEvents)
}

// ledgerEvents passes ledger events to the components. It must not block the log
// reader.
func (n *Node) ledgerEvents(events []ledger.Event) {
	for _, e := range events {
		switch e.(type) {
		case ledger.ConfigurationAccepted, ledger.Restored:
			if _, err := n.configurations.update(n.replica.Configuration()); err != nil {
				n.log.Error("Accepted configuration could not be decoded.", "error", err)
			}
		}
	}
	n.members.recordChanges(events)
	n.announced.closeDecided(events)
	n.refreshPeers(events)
	n.jobEvents.notify(events)
	n.shards.queue.put(events)
	n.ownership.ledgerChanged()
}

// refreshPeers updates the peer connections if the events change the members.
func (n *Node) refreshPeers(events []ledger.Event) {
	changed := false
	for _, e := range events {
		switch e.(type) {
		case ledger.MemberJoined, ledger.MemberLeft, ledger.Restored:
			changed = true
		}
	}
	if !changed {
		return
	}
	addresses := map[string]string{}
	for _, m := range n.replica.Members() {
		if m.Node != n.settings.Node.Name {
			addresses[m.Node] = m.Address
		}
	}
	if err := n.peers.SetPeers(addresses); err != nil {
		n.log.Error("Peer connections could not be updated.", "error", err)
	}
}

// componentLogger returns the logger of a component.
func (n *Node) componentLogger(component string) *slog.Logger {
	return logging.WithComponent(n.baseLog, component)
}

// HTTPAddress returns the address on which the node serves callers.
func (n *Node) HTTPAddress() string { return n.httpListener.Addr().String() }

// OperatorsAddress returns the address that serves metrics and dumps to
// operators.
func (n *Node) OperatorsAddress() string { return n.opsListener.Addr().String() }

// Name returns the name of the node.
func (n *Node) Name() string { return n.settings.Node.Name }
