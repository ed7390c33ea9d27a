package peers

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// shortReserveDivisor sets the reserve for short calls: one in
	// shortReserveDivisor of the usable endpoints, at least one, takes no long call.
	shortReserveDivisor = 3
	// adviceTimeoutMargin is added to twice the expected duration of an advice call to
	// get its timeout.
	adviceTimeoutMargin = 700 * time.Millisecond
	// maxAdviceAttempts is the greatest number of endpoints that are tried for one
	// advice request.
	maxAdviceAttempts = 3
)

// Pool holds the connections to the other nodes and distributes advice requests
// over them.
type Pool struct {
	// StoreAnswerTime returns how long the store takes to answer at present; nil if that
	// is not known. It is set before the first call.
	StoreAnswerTime func() time.Duration

	clock cell.Clock
	log   *slog.Logger

	mu        sync.Mutex
	endpoints []*endpoint
	// waiters are ordered by priority, and by arrival within a priority.
	waiters []*waiter
}

// waiter is an advice request that waits for an endpoint.
type waiter struct {
	long     bool
	priority int
	granted  chan *endpoint
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

// Ask requests advice from the service through one of the nodes, and returns a
// ticket for each approved host. expectedDuration is that of the call; requests
// with a lower priority value are served first, from 0. The error is that
// of the last attempt, or of ctx.
func (p *Pool) Ask(ctx context.Context, group cell.GroupID, hosts []string, expectedDuration time.Duration, priority int) (tickets map[string]string, err error) {
	long := expectedDuration >= longCallThreshold
	for range maxAdviceAttempts {
		e := p.acquire(ctx, long, priority)
		if e == nil {
			return nil, ctx.Err()
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*expectedDuration+adviceTimeoutMargin)
		var r *AdviseResponse
		r, err = e.advise(callCtx, &AdviseRequest{Group: group, Hosts: hosts})
		cancel()
		p.release(e, long, err != nil)
		if err == nil {
			return r.Tickets, nil
		}
		p.log.Warn("An attempt to call the advice service through a node failed.", "id", group.Submission, "step", group.Step, "node", e.name, "error", err)
	}
	return nil, err
}

// acquire waits for an endpoint with capacity for a call. It returns nil when ctx
// ends first.
func (p *Pool) acquire(ctx context.Context, long bool, priority int) *endpoint {
	w := &waiter{long: long, priority: priority, granted: make(chan *endpoint, 1)}
	p.mu.Lock()
	i, _ := slices.BinarySearchFunc(p.waiters, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1 // insert after waiters of the same priority
		}
		return 1
	})
	p.waiters = slices.Insert(p.waiters, i, w)
	p.grant()
	p.mu.Unlock()
	for {
		select {
		case e := <-w.granted:
			return e
		case <-time.After(endpointCooldown):
			p.mu.Lock()
			if len(p.waiters) > 0 && p.waiters[0] == w { // one of them is enough
				p.grant() // the cooldown of an endpoint may have ended
			}
			p.mu.Unlock()
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
			select {
			case e := <-w.granted:
				p.freeSlot(e, w.long)
				p.grant()
			default:
			}
			return nil
		}
	}
}

// release returns an acquired endpoint. After a failure the endpoint is not used
// for endpointCooldown, unless it is the only one.
func (p *Pool) release(e *endpoint, long, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlot(e, long)
	if failed && len(p.endpoints) > 1 {
		e.downUntil = p.clock.Now() + endpointCooldown
	}
	p.grant()
}

func (p *Pool) freeSlot(e *endpoint, long bool) {
	if long {
		e.longInFlight--
	} else {
		e.shortInFlight--
	}
}

// grant assigns endpoints with capacity to waiters, in order. The caller holds p.mu. It
// ends once no endpoint has capacity, since there may be thousands of waiters.
func (p *Pool) grant() {
	now := p.clock.Now()
	longFull, shortFull := false, false
	for i := 0; i < len(p.waiters); {
		w := p.waiters[i]
		if w.long && longFull || !w.long && shortFull {
			i++
			continue
		}
		e := p.pick(w.long, now)
		if e == nil {
			longFull, shortFull = p.pick(true, now) == nil, p.pick(false, now) == nil
			if longFull && shortFull {
				return
			}
			i++
			continue
		}
		if w.long {
			e.longInFlight++
		} else {
			e.shortInFlight++
		}
		p.waiters = slices.Delete(p.waiters, i, i+1)
		w.granted <- e
	}
}

// pick returns the endpoint with capacity that has the fewest short calls in
// flight, or nil. For a long call it returns nil also if that call would use the
// reserve for short calls while another long call is in flight.
func (p *Pool) pick(long bool, now time.Duration) (best *endpoint) {
	endpointsWithLong, up := 0, 0
	for _, e := range p.endpoints {
		if now >= e.downUntil {
			up++
		}
		if e.longInFlight > 0 {
			endpointsWithLong++
		}
	}
	if long && endpointsWithLong > 0 && endpointsWithLong >= up-max(up/shortReserveDivisor, 1) {
		return nil
	}
	for _, e := range p.endpoints {
		if e.hasCapacity(long, now) && (best == nil || e.shortInFlight < best.shortInFlight) {
			best = e
		}
	}
	return best
}

// Waiting returns the number of advice requests that wait for an endpoint.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}
