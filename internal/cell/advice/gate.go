package advice

import (
	"context"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// maxAtService is the greatest number of calls at the service: one is handled while
	// the next one is on the network.
	maxAtService = 2
	// answerMargin is added to the time that the service needs for the calls before a
	// call and for the call itself to give the time after which no answer is expected.
	answerMargin = 700 * time.Millisecond
)

// Service is the advice service. Ask returns a ticket for each of hosts that may run a
// group.
type Service interface {
	Ask(ctx context.Context, group cell.GroupID, hosts []string) (map[string]string, error)
}

// Gate passes calls to the service in the order of their arrival, at most
// maxAtService at a time. A call that its caller abandons keeps its place until the
// service has answered, since the service handles it all the same.
type Gate struct {
	service Service
	clock   cell.Clock
	log     *slog.Logger

	mu sync.Mutex
	// highestToken is the highest fencing token of the calls so far.
	highestToken int64
	waiting      []*request
	atService    []*request
	// busyUntil is when the service is expected to have answered all calls that were
	// sent.
	busyUntil time.Duration
}

// request is a call that waits or is at the service.
type request struct {
	Call
	ctx context.Context
	// answered receives the answer, once.
	answered chan answer
}

type answer struct {
	tickets map[string]string
	err     error
}

// NewGate returns a gate to a service.
func NewGate(s Service, clock cell.Clock, log *slog.Logger) *Gate {
	return &Gate{service: s, clock: clock, log: log}
}

// Ask returns the answer of the service to a call. The error is a *BusyError or ErrStale
// if the call was not sent.
func (g *Gate) Ask(ctx context.Context, c Call) (map[string]string, error) {
	r := &request{Call: c, ctx: ctx, answered: make(chan answer, 1)}
	if err := g.enter(r); err != nil {
		return nil, err
	}
	select {
	case a := <-r.answered:
		return a.tickets, a.err
	case <-ctx.Done():
		g.leave(r)
		return nil, ctx.Err()
	}
}

// enter adds a request to those that wait, or refuses it.
func (g *Gate) enter(r *request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Token < g.highestToken {
		return ErrStale
	}
	if r.Token > g.highestToken {
		g.highestToken = r.Token
		g.dropStale()
	}
	before := g.busyFor()
	for _, o := range g.waiting {
		before += o.Duration
	}
	if !r.inTime(before) {
		return &BusyError{FreeIn: before}
	}
	g.waiting = append(g.waiting, r)
	g.sendNext()
	return nil
}

// dropStale refuses the waiting requests of earlier owners.
func (g *Gate) dropStale() {
	g.waiting = slices.DeleteFunc(g.waiting, func(r *request) bool {
		stale := r.Token < g.highestToken
		if stale {
			r.answered <- answer{err: ErrStale}
		}
		return stale
	})
}

// leave removes a request whose caller no longer waits, if it has not been sent.
func (g *Gate) leave(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(o *request) bool { return o == r })
}

// busyFor returns how long the service is expected to need for the calls that were
// sent.
func (g *Gate) busyFor() time.Duration { return max(g.busyUntil-g.clock.Now(), 0) }

// inTime reports whether the service can answer before the caller's deadline if it
// needs a time for the calls before.
func (r *request) inTime(before time.Duration) bool {
	deadline, ok := r.ctx.Deadline()
	return !ok || before+r.Duration <= time.Until(deadline)
}

// sendNext sends waiting requests while the service takes them. A request that can no
// longer be answered in time is refused. The caller holds g.mu.
func (g *Gate) sendNext() {
	for len(g.atService) < maxAtService && len(g.waiting) > 0 {
		r := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		busyFor := g.busyFor()
		switch {
		case r.ctx.Err() != nil: // its caller has left
		case !r.inTime(busyFor):
			r.answered <- answer{err: &BusyError{FreeIn: busyFor}}
		default:
			g.atService = append(g.atService, r)
			g.busyUntil = g.clock.Now() + busyFor + r.Duration
			go g.send(r, busyFor+r.Duration+answerMargin)
		}
	}
}

// send sends a request to the service and passes the answer on. The call does not end
// with its caller: the service would handle it nevertheless.
func (g *Gate) send(r *request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), timeout)
	defer cancel()
	tickets, err := g.askService(ctx, r)
	r.answered <- answer{tickets, err}
	if r.ctx.Err() != nil {
		g.log.Debug("The advice service answered after the caller had left.", "id", r.Group.Submission, "step", r.Group.Step, "error", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atService = slices.DeleteFunc(g.atService, func(o *request) bool { return o == r })
	var left time.Duration
	for _, o := range g.atService {
		left += o.Duration
	}
	g.busyUntil = min(g.busyUntil, g.clock.Now()+left)
	g.sendNext()
}

// askService calls the service. A panic becomes an error: the call would otherwise end this
// process, and then that of the node at which it is tried again.
func (g *Gate) askService(ctx context.Context, r *request) (tickets map[string]string, err error) {
	defer func() {
		if v := recover(); v != nil {
			tickets, err = nil, eris.Errorf("a fault of the program ended the call: %v\n%s", v, debug.Stack())
		}
	}()
	return g.service.Ask(ctx, r.Group, r.Hosts)
}
