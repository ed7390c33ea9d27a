package peers

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Pool holds the connections to the other nodes and distributes advice requests
// over them.
type Pool struct {
	// StoreAnswerTime returns how long the store takes to answer at present; nil if that
	// is not known. It is set before the first call.
	StoreAnswerTime func() time.Duration
	// ForwardByPath makes all calls that store something under one path go to the same node if
	// that answers. It is set before the first call.
	ForwardByPath bool

	clock cell.Clock
	log   *slog.Logger

	mu        sync.Mutex
	endpoints []*endpoint
	// shortWaiters and longWaiters hold the requests that wait for an endpoint;
	// arrivals counts them.
	shortWaiters, longWaiters waitQueue
	// searches is how often the endpoints were searched for one with capacity.
	searches int
	arrivals int64
	retries  retryBudget
	// shortReserve keeps endpoints free for short calls.
	shortReserve shortReserve
}

// NewPool returns a pool with this node as its only endpoint.
func NewPool(clock cell.Clock, log *slog.Logger, self string, local Handler) *Pool {
	return &Pool{clock: clock, log: log, endpoints: []*endpoint{{name: self, local: local}}}
}

// Peer is another node of the cell.
type Peer struct {
	Address string
	// Follows is set if the node can answer calls that are forwarded to it.
	Follows bool
}

// SetPeers replaces the set of other nodes, which is keyed by node name. The
// connection of a node that keeps its address stays open.
func (p *Pool) SetPeers(others map[string]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range others {
		address := peer.Address
		i := slices.IndexFunc(p.endpoints, func(e *endpoint) bool { return e.name == name })
		if i >= 0 && (p.endpoints[i].local != nil || p.endpoints[i].address == address) {
			p.endpoints[i].setFollows(peer.Follows)
			continue
		}
		conn, err := dial(address)
		if err != nil {
			p.log.Warn("A node cannot be used for calls.", "node", name, "error", err)
			continue
		}
		e := &endpoint{name: name, address: address, conn: conn}
		e.setFollows(peer.Follows)
		if i >= 0 {
			p.close(p.endpoints[i])
			p.endpoints[i] = e
		} else {
			p.endpoints = append(p.endpoints, e)
		}
	}
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *endpoint) bool {
		_, keep := others[e.name]
		if !keep && e.local == nil {
			p.close(e)
		}
		return !keep && e.local == nil
	})
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int { return strings.Compare(a.name, b.name) })
	p.grant()
}

func (p *Pool) close(e *endpoint) {
	if err := e.conn.Close(); err != nil {
		p.log.Debug("A connection could not be closed.", "node", e.name, "error", err)
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.SetPeers(nil) }
