package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"google.golang.org/grpc/connectivity"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	// forwardTries bounds the nodes that one call is forwarded to.
	forwardTries = 3
	// answerFor bounds the wait for the answer of one node, but the last one: a
	// call that was put to two nodes still has one effect.
	answerFor = 900 * time.Millisecond
	// yieldFor bounds the notice to the other nodes.
	yieldFor = 500 * time.Millisecond
)

// followers returns the lanes of other nodes that follow the work topic and are
// up, in random order.
func (p *Pool) followers() (out []*lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, l := range p.lanes {
		if l.local == nil && l.follows && now >= l.downUntil {
			out = append(out, l)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (p *Pool) down(l *lane) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.downUntil = p.clock.Now() + downFor
}

// Forward lets another node answer a call. The error has the verdict DidNotRun
// if no node can have acted on the call.
func (p *Pool) Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error) {
	last := error(verdict.New(verdict.DidNotRun, "no-peer", "no other node is known to be up"))
	v := verdict.DidNotRun
	for i, l := range p.followers() {
		if i == forwardTries || ctx.Err() != nil {
			break
		}
		if !l.connected(ctx) {
			p.down(l) // no byte of the call has been sent
			last = verdict.New(v, "peer-unreachable", "node %s cannot be reached", l.name)
			continue
		}
		callCtx, cancel := ctx, context.CancelFunc(func() {})
		if i < forwardTries-1 {
			callCtx, cancel = context.WithTimeout(ctx, answerFor)
		}
		var out ForwardResponse
		err := l.invoke(callCtx, forwardMethod, r, &out)
		cancel()
		switch {
		case err == nil && out.final(r, v):
			return &out, nil
		case err == nil:
			last = verdict.New(v, "peer-unavailable", "node %s answers %d", l.name, out.Status)
			continue
		}
		v = verdict.MayHaveRun // a broken connection does not tell whether the call arrived
		p.down(l)
		last = verdict.Wrap(err, v, "peer-silent")
	}
	return nil, last
}

// Refuses reports whether a node's machine refuses connections: it is up, and
// the process that listened is gone. It asks only while the connection that is
// kept to the node is not in order.
func (p *Pool) Refuses(ctx context.Context, name string) bool {
	p.mu.Lock()
	i := slices.IndexFunc(p.lanes, func(l *lane) bool { return l.name == name && l.local == nil })
	if i < 0 || p.lanes[i].conn.GetState() == connectivity.Ready {
		p.mu.Unlock()
		return false
	}
	l := p.lanes[i]
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectFor)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err == nil {
		_ = conn.Close() // it only had to open
		l.conn.Connect()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CanForward reports whether a node is known that calls can be forwarded to.
func (p *Pool) CanForward() bool { return len(p.followers()) > 0 }

// Yield asks all other followers to take over from the owner with a token. It
// reports whether there is any.
func (p *Pool) Yield(token int64) bool {
	others := p.followers()
	for _, l := range others {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), yieldFor)
			defer cancel()
			if err := l.invoke(ctx, yieldMethod, &YieldRequest{Token: token}, &YieldResponse{}); err != nil {
				p.log.Info("A node does not hear that the owner yields.", "node", l.name, "error", err)
			}
		}()
	}
	return len(others) > 0
}
