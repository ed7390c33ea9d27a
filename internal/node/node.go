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

// Node is one entry process.
type Node struct {
	settings    settings.Settings
	base        *slog.Logger
	log         *slog.Logger
	clock       clock
	incarnation uint64
	scope       tally.Scope
	metrics     http.Handler

	logService *logsvc.Client
	list       *hostlist.Client
	workers    *worker.HTTPClient
	runners    *runner.HTTPClient

	replica        *ledger.Replica
	logClient      *logclient.Client
	configurations *configurations
	hosts          *hostView
	jobEvents      *jobEvents
	announced      *announcements
	members        *members
	gossip         *gossip
	waits          *waits
	owner          *owner
	shards         *shards
	gangs          *gangs
	peers          *peer.Pool
	counts         *peer.Counts
	requests       *requests.Server
	gateway        *gateway.Server

	httpListener net.Listener
	opsListener  net.Listener
	peerListener net.Listener
	peerServer   *peer.Server

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	servable atomic.Bool
	evicted  atomic.Bool
	draining atomic.Bool
	drainReq chan struct{}
	drainOne sync.Once
}

// New returns a node that listens on its addresses but serves nothing yet.
func New(s settings.Settings, base *slog.Logger) (*Node, error) {
	n := &Node{
		settings: s, base: base, log: logging.Part(base, "node"), clock: clock{time.Now()},
		incarnation: uint64(time.Now().UnixNano()), drainReq: make(chan struct{}),
		configurations: newConfigurations(), hosts: &hostView{}, announced: newAnnouncements(), jobEvents: newJobEvents(),
		waits: newWaits(),
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

// connect creates the clients of the platform's services.
func (n *Node) connect() (err error) {
	p := n.settings.Platform
	if n.logService, err = logsvc.NewClient(p.LogURL, logsvc.Options{AppendTimeout: p.LogTimeout}); err != nil {
		return err
	}
	if n.list, err = hostlist.NewClient(p.HostListURL, 0); err != nil {
		return err
	}
	n.workers = worker.NewHTTPClient()
	n.replica = ledger.NewReplica(ledgerOptions())
	n.logClient, err = logclient.New(logclient.Options{
		Node: n.settings.Node.Name, Incarnation: n.incarnation, Log: n.logService, Replica: n.replica,
		Logger: n.base, Metrics: n.scope.SubScope("log"), SnapshotEvery: snapshotEvery,
	})
	return err
}

// snapshotEvery is the number of log records after which a snapshot is due. At
// 100 appends a second it is one every half minute, far below any retention.
const snapshotEvery = 3000

// listen opens the listeners, so that addresses are known before the node joins.
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

// assemble creates the parts that depend on one another.
func (n *Node) assemble() {
	n.counts = peer.NewCounts(n.scope.SubScope("peer"))
	n.peers = peer.NewPool(n.counts)
	n.peerServer = peer.NewServer(&peerHandler{node: n}, n.counts)
	n.gossip = &gossip{tracker: membership.New(membership.Peer{Node: n.settings.Node.Name, Incarnation: n.incarnation}, n.clock.Now())}
	n.members = newMembers(n)
	n.shards = newShards(n)
	n.gangs = newGangs(n)
	self := ownership.Identity{Node: n.settings.Node.Name, Incarnation: n.incarnation}
	n.owner = &owner{
		clock: n.clock, replica: n.replica, client: n.logClient, record: recorder{n.logClient}, peers: n.peers,
		self: self, log: logging.Part(n.base, "ownership"),
		manager: ownership.New(ownership.Config{
			Self: self, Zone: n.settings.Node.Zone, Nodes: n.settings.Cluster.Nodes, Started: n.clock.Now(),
		}),
		replies: map[uint64]chan ownership.Action{}, kick: make(chan struct{}, 1), ready: make(chan struct{}),
		actions: make(chan ownership.Action, maxShardActions), ctx: n.ctx,
		start: n.shards.start, stop: n.shards.stop, handOver: n.shards.handOver,
	}
	n.runners = runner.NewHTTPClient(n.runnerOptions())
	n.requests = requests.New(n.requestOptions(), keys{n}, n.members, n.peers, n.runners, n.clock)
	n.replica.Subscribe(n.ledgerEvents)
}

// ledgerEvents passes the events of the log on. It must not block.
func (n *Node) ledgerEvents(events []ledger.Event) {
	for _, e := range events {
		switch e.(type) {
		case ledger.ConfigurationAccepted, ledger.Restored:
			if _, err := n.configurations.update(n.replica.Configuration()); err != nil {
				n.log.Error("Accepted configuration cannot be decoded.", "error", err)
			}
		}
	}
	n.members.note(events)
	n.announced.note(events)
	n.refreshPeers(events)
	n.jobEvents.note(events)
	n.shards.queue.put(events)
	n.owner.ledgerChanged()
}

// refreshPeers keeps the connections to the peers in line with the members.
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
		n.log.Error("Address of a peer cannot be used.", "error", err)
	}
}

// partLog returns the logger of a part.
func (n *Node) partLog(part string) *slog.Logger { return logging.Part(n.base, part) }

// HTTPAddress returns the address on which the node serves callers.
func (n *Node) HTTPAddress() string { return n.httpListener.Addr().String() }

// OperatorsAddress returns the address that serves metrics and the dump.
func (n *Node) OperatorsAddress() string { return n.opsListener.Addr().String() }

// Name returns the name of the node.
func (n *Node) Name() string { return n.settings.Node.Name }
