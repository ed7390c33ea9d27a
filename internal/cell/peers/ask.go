package peers

import (
	"context"
	"errors"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
)

const (
	// adviceTimeoutMargin is added to twice the expected duration of an advice call to
	// get its timeout.
	adviceTimeoutMargin = 700 * time.Millisecond
	// maxAdviceAttempts is the greatest number of endpoints that are tried for one
	// advice request.
	maxAdviceAttempts = 3
)

// Ask makes an advice call through one of the nodes, and returns a ticket for each
// approved host. Requests with a lower priority value are served first, from 0. The
// error is that of the last attempt, or of ctx; it is advice.ErrStale, or a
// *advice.BusyError, if the node did not call the service.
func (p *Pool) Ask(ctx context.Context, c advice.Call, priority int) (tickets map[string]string, err error) {
	long := c.Duration >= longCallThreshold
	for attempt := 1; ; attempt++ {
		e := p.acquire(ctx, long, priority)
		if e == nil {
			return nil, ctx.Err()
		}
		tickets, err = e.askInTime(ctx, c)
		retry := p.release(ctx, e, long, err)
		if err == nil || errors.Is(err, advice.ErrStale) {
			return tickets, err
		}
		p.log.Warn("An attempt to call the advice service through a node failed.", "id", c.Group.Submission, "step", c.Group.Step, "node", e.name, "error", err)
		if !retry || attempt == maxAdviceAttempts {
			return nil, err
		}
	}
}

// Capacity returns how many advice calls can be in flight at one time through the nodes
// that can be used.
func (p *Pool) Capacity() cell.AdviceRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	up, free := 0, 0
	for _, e := range p.endpoints {
		if e.isDown(now) {
			continue
		}
		up++
		if e.longInFlight == 0 {
			free++
		}
	}
	return cell.AdviceRoom{Short: maxShortInFlight * free, Long: p.maxLong(up, now), LongFrom: longCallThreshold}
}

// maxLong returns through how many of the usable endpoints long calls may be made at one
// time. The caller holds p.mu.
func (p *Pool) maxLong(up int, now time.Duration) int {
	return min(up, max(up-p.shortReserve.endpoints(up, p.shortWaiters.len(), now), 1))
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

// release returns an acquired endpoint after a call that ended with err, and reports
// whether the call may be tried again.
func (p *Pool) release(ctx context.Context, e *endpoint, long bool, err error) (retry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.grant()
	p.freeSlot(e, long)
	var busy *advice.BusyError
	switch {
	case err == nil, errors.Is(err, advice.ErrStale):
		e.adviceCooldown = 0
		p.retries.succeeded()
		return false
	case ctx.Err() != nil: // the caller has left, which says nothing about the node
		return false
	case errors.As(err, &busy):
		p.coolDown(e, min(busy.FreeIn, maxAdviceCooldown))
		return true
	}
	p.retries.failed()
	p.coolDown(e, e.adviceFailed())
	return p.retries.allows()
}

// coolDown makes no advice call through an endpoint for a time, unless it is the only
// one. At the end waiting requests may use the endpoint again. The caller holds p.mu.
func (p *Pool) coolDown(e *endpoint, d time.Duration) {
	if len(p.endpoints) == 1 {
		return
	}
	e.adviceDownUntil = max(e.adviceDownUntil, p.clock.Now()+d)
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
		p.shortReserve.add(-1, p.clock.Now())
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
			p.shortReserve.add(1, now)
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
	p.searches++
	endpointsWithLong, up := 0, 0
	for _, e := range p.endpoints {
		if !e.isDown(now) {
			up++
		}
		if e.longInFlight > 0 {
			endpointsWithLong++
		}
	}
	if long && endpointsWithLong >= p.maxLong(up, now) {
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
