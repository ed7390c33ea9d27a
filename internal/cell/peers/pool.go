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
	// shortShare is the part of the lanes that long calls leave free.
	shortShare = 3
	// callSlack is added to the expected time of a call before it is given up.
	callSlack = 700 * time.Millisecond
	// tries bounds the lanes that one question is put to.
	tries = 3
)

// Pool spreads questions to the advice service over the nodes.
type Pool struct {
	clock cell.Clock
	log   *slog.Logger

	mu      sync.Mutex
	lanes   []*lane
	waiters []*waiter
}

// waiter is a question that waits for a lane.
type waiter struct {
	long     bool
	priority int
	granted  chan *lane
}

// NewPool returns a pool with this node as its only lane.
func NewPool(clock cell.Clock, log *slog.Logger, self string, local Handler) *Pool {
	return &Pool{clock: clock, log: log, lanes: []*lane{{name: self, local: local}}}
}

// Other is another node.
type Other struct {
	Address string
	// Follows is set if it can answer calls that are forwarded to it.
	Follows bool
}

// SetNodes replaces the other nodes by name.
func (p *Pool) SetNodes(others map[string]Other) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, other := range others {
		address := other.Address
		i := slices.IndexFunc(p.lanes, func(l *lane) bool { return l.name == name })
		if i >= 0 && (p.lanes[i].local != nil || p.lanes[i].address == address) {
			p.lanes[i].follow(other.Follows)
			continue
		}
		conn, err := dial(address)
		if err != nil {
			p.log.Warn("A node cannot be used for advice.", "node", name, "error", err)
			continue
		}
		l := &lane{name: name, address: address, conn: conn}
		l.follow(other.Follows)
		if i >= 0 {
			p.close(p.lanes[i])
			p.lanes[i] = l
		} else {
			p.lanes = append(p.lanes, l)
		}
	}
	p.lanes = slices.DeleteFunc(p.lanes, func(l *lane) bool {
		_, keep := others[l.name]
		if !keep && l.local == nil {
			p.close(l)
		}
		return !keep && l.local == nil
	})
	slices.SortFunc(p.lanes, func(a, b *lane) int { return strings.Compare(a.name, b.name) })
	p.grant()
}

func (p *Pool) close(l *lane) {
	if err := l.conn.Close(); err != nil {
		p.log.Debug("A connection does not close.", "node", l.name, "error", err)
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.SetNodes(nil) }

// Ask puts a question to the service. cost is how long the service takes;
// priority 0 comes first.
func (p *Pool) Ask(ctx context.Context, group cell.GroupID, hosts []string, cost time.Duration, priority int) (tickets map[string]string, err error) {
	long := cost >= longCall
	for range tries {
		l := p.acquire(ctx, long, priority)
		if l == nil {
			return nil, ctx.Err()
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*cost+callSlack)
		var r *AdviseResponse
		r, err = l.call(callCtx, &AdviseRequest{Group: group, Hosts: hosts})
		cancel()
		p.release(l, long, err != nil)
		if err == nil {
			return r.Tickets, nil
		}
		p.log.Warn("A call for advice failed.", "id", group.Submission, "step", group.Step, "node", l.name, "error", err)
	}
	return nil, err
}

func (p *Pool) acquire(ctx context.Context, long bool, priority int) *lane {
	w := &waiter{long: long, priority: priority, granted: make(chan *lane, 1)}
	p.mu.Lock()
	i, _ := slices.BinarySearchFunc(p.waiters, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1 // behind those of the same priority
		}
		return 1
	})
	p.waiters = slices.Insert(p.waiters, i, w)
	p.grant()
	p.mu.Unlock()
	for {
		select {
		case l := <-w.granted:
			return l
		case <-time.After(downFor):
			p.mu.Lock()
			p.grant() // a lane may be up again
			p.mu.Unlock()
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
			select {
			case l := <-w.granted:
				p.free(l, w.long)
				p.grant()
			default:
			}
			return nil
		}
	}
}

func (p *Pool) release(l *lane, long, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free(l, long)
	if failed && len(p.lanes) > 1 {
		l.downUntil = p.clock.Now() + downFor
	}
	p.grant()
}

func (p *Pool) free(l *lane, long bool) {
	if long {
		l.long--
	} else {
		l.short--
	}
}

// grant gives free lanes to waiters.
func (p *Pool) grant() {
	now := p.clock.Now()
	for i := 0; i < len(p.waiters); {
		w := p.waiters[i]
		l := p.pick(w.long, now)
		if l == nil {
			i++
			continue
		}
		if w.long {
			l.long++
		} else {
			l.short++
		}
		p.waiters = slices.Delete(p.waiters, i, i+1)
		w.granted <- l
	}
}

// pick returns the lane for a call; nil if none is free.
func (p *Pool) pick(long bool, now time.Duration) (best *lane) {
	withLong, up := 0, 0
	for _, l := range p.lanes {
		if now >= l.downUntil {
			up++
		}
		if l.long > 0 {
			withLong++
		}
	}
	if long && withLong > 0 && withLong >= up-max(up/shortShare, 1) {
		return nil
	}
	for _, l := range p.lanes {
		if l.takes(long, now) && (best == nil || l.short < best.short) {
			best = l
		}
	}
	return best
}

// Waiting returns the number of questions that wait for a lane.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}
