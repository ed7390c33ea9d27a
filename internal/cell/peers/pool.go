package peers

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
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
	// shortWaiters and longWaiters hold the requests that wait for an endpoint;
	// arrivals counts them.
	shortWaiters, longWaiters waitQueue
	arrivals                  int64
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

// Ask makes an advice call through one of the nodes, and returns a ticket for each
// approved host. Requests with a lower priority value are served first, from 0. The
// error is that of the last attempt, or of ctx; it is advice.ErrStale, or a
// *advice.BusyError, if the node did not call the service.
func (p *Pool) Ask(ctx context.Context, c advice.Call, priority int) (tickets map[string]string, err error) {
	long := c.Duration >= longCallThreshold
	for range maxAdviceAttempts {
		e := p.acquire(ctx, long, priority)
		if e == nil {
			return nil, ctx.Err()
		}
		tickets, err = e.askInTime(ctx, c)
		p.release(e, long, cooldownAfter(err))
		if err == nil || errors.Is(err, advice.ErrStale) {
			return tickets, err
		}
		p.log.Warn("An attempt to call the advice service through a node failed.", "id", c.Group.Submission, "step", c.Group.Step, "node", e.name, "error", err)
	}
	return nil, err
}

// cooldownAfter returns how long an endpoint is not used after a call that ended with
// an error. A node that refused since the service is busy tells when it will be free.
func cooldownAfter(err error) time.Duration {
	var busy *advice.BusyError
	switch {
	case err == nil, errors.Is(err, advice.ErrStale):
		return 0
	case errors.As(err, &busy):
		return min(busy.FreeIn, endpointCooldown)
	default:
		return endpointCooldown
	}
}

// acquire waits for an endpoint with capacity for a call. It returns nil when ctx
// ends first.
func (p *Pool) acquire(ctx context.Context, long bool, priority int) *endpoint {
	w := &waiter{long: long, priority: priority, granted: make(chan *endpoint, 1)}
	p.mu.Lock()
	p.arrivals++
	w.arrival = p.arrivals
	p.waiters(long).push(w)
	p.grant()
	p.mu.Unlock()
	select {
	case e := <-w.granted:
		return e
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiters(long).remove(w) {
		p.freeSlot(<-w.granted, long)
		p.grant()
	}
	return nil
}

// waiters returns the queue of the long or of the short calls.
func (p *Pool) waiters(long bool) *waitQueue {
	if long {
		return &p.longWaiters
	}
	return &p.shortWaiters
}

// release returns an acquired endpoint. It is not used during a cooldown, unless it is
// the only one.
func (p *Pool) release(e *endpoint, long bool, cooldown time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlot(e, long)
	if cooldown > 0 && len(p.endpoints) > 1 {
		p.coolDown(e, cooldown)
	}
	p.grant()
}

// coolDown begins the cooldown of an endpoint. At its end waiting requests may use the
// endpoint again. The caller holds p.mu.
func (p *Pool) coolDown(e *endpoint, d time.Duration) {
	e.downUntil = p.clock.Now() + d
	time.AfterFunc(d+cooldownTimerMargin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grant()
	})
}

func (p *Pool) freeSlot(e *endpoint, long bool) {
	if long {
		e.longInFlight--
	} else {
		e.shortInFlight--
	}
}

// grant assigns endpoints with capacity to waiters, in order. Its cost does not grow
// with the number of waiters that get none. The caller holds p.mu.
func (p *Pool) grant() {
	now := p.clock.Now()
	short, long := &p.shortWaiters, &p.longWaiters
	for {
		q := p.next(short, long)
		if q == nil {
			return
		}
		w := q.first()
		e := p.pick(w.long, now)
		if e == nil {
			if q == short {
				short = nil // no other short call gets an endpoint either
			} else {
				long = nil
			}
			continue
		}
		if w.long {
			e.longInFlight++
		} else {
			e.shortInFlight++
		}
		q.remove(w)
		w.granted <- e
	}
}

// next returns the queue whose first waiter is served next, nil if none waits. A queue
// may be nil.
func (p *Pool) next(short, long *waitQueue) *waitQueue {
	if short == nil || short.len() == 0 {
		short, long = long, nil
	}
	if short == nil || short.len() == 0 {
		return nil
	}
	if long == nil || long.len() == 0 || short.first().before(long.first()) {
		return short
	}
	return long
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
	return p.shortWaiters.len() + p.longWaiters.len()
}
