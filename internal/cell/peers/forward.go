package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/connectivity"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// maxForwardAttempts is the greatest number of nodes that one call is forwarded
	// to.
	maxForwardAttempts = 3
	// forwardTimeout is the least time that the response of one node is waited for,
	// except in the last attempt, which may use the rest of the deadline. At a slow store
	// it is answerTimeFactor times the store's answer.
	forwardTimeout   = 900 * time.Millisecond
	answerTimeFactor = 10
	// probeDelay is the time without a response after which a node is asked whether it
	// is alive, again and again; probeTimeout limits the answer. To try the next node is
	// safe, since a call that is sent to two nodes has the same effect as one.
	probeDelay   = 600 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// takeoverTimeout limits a takeover request to another node.
	takeoverTimeout = 500 * time.Millisecond
	// statusTimeout limits the question to the owner whether it acts.
	statusTimeout = 300 * time.Millisecond
)

// forwardTargets returns the other nodes that follow the work topic and are not in
// a cooldown, in random order.
func (p *Pool) forwardTargets() (out []*endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range p.endpoints {
		if e.local == nil && e.follows && now >= e.downUntil {
			out = append(out, e)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

// markDown starts the cooldown of an endpoint.
func (p *Pool) markDown(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.downUntil = p.clock.Now() + endpointCooldown
}

// Forward forwards a call to other nodes, one after the other, until a response can
// be passed on. The error has the verdict DidNotRun if no node can have acted on
// the call.
func (p *Pool) Forward(ctx context.Context, r *CallRequest) (*CallResponse, error) {
	lastErr := error(verdict.New(verdict.DidNotRun, "no-peer", "no other node that follows the work topic is available"))
	v := verdict.DidNotRun
	for i, e := range p.orderTargets(r, p.forwardTargets()) {
		if i == maxForwardAttempts || ctx.Err() != nil {
			break
		}
		if !e.waitConnected(ctx) {
			p.markDown(e) // nothing of the call has been sent, so v stays
			lastErr = verdict.New(v, "peer-unreachable", "node %s cannot be reached", e.name)
			continue
		}
		callCtx, cancel := ctx, context.CancelFunc(func() {})
		if i < maxForwardAttempts-1 {
			callCtx, cancel = context.WithTimeout(ctx, p.forwardTimeout())
		}
		request := *r
		request.MayBeStored = r.MayBeStored || r.IsWrite() && v != verdict.DidNotRun
		var out CallResponse
		err := e.invokeAlive(callCtx, forwardMethod, &request, &out)
		cancel()
		switch {
		case err == nil && !out.validStatus():
			v = verdict.MayHaveRun
			lastErr = verdict.New(v, "bad-answer", "node %s answered with status %d", e.name, out.Status)
			continue
		case err == nil && out.canPassOn(r, v):
			out.Node = e.name
			return &out, nil
		case err == nil:
			lastErr = verdict.New(v, "peer-unavailable", "node %s answered with status %d", e.name, out.Status)
			continue
		}
		v = verdict.MayHaveRun // after an error it is unknown whether the call arrived
		p.markDown(e)
		lastErr = verdict.Wrap(err, v, "peer-silent")
	}
	return nil, lastErr
}

// forwardTimeout returns how long the response of one node is waited for at present. A
// node that is alive may wait for a slow store, and to give up on it would only send
// the call to another one that waits as well.
func (p *Pool) forwardTimeout() time.Duration {
	if p.StoreAnswerTime == nil {
		return forwardTimeout
	}
	return max(forwardTimeout, answerTimeFactor*p.StoreAnswerTime())
}

// RefusesConnections reports whether a node's machine refuses connections: the
// machine is up, but the process that listened there has exited. It opens a probe
// connection only while the permanent connection to the node is not ready.
func (p *Pool) RefusesConnections(ctx context.Context, name string) bool {
	e := p.remote(name)
	if e == nil || e.conn.GetState() == connectivity.Ready {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.address)
	if err == nil {
		_ = conn.Close() // only the connect matters
		e.conn.Connect()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Append appends a record to the work topic through another node. The verdict of an
// error is DidNotRun only if the record is not stored and never will be.
func (p *Pool) Append(ctx context.Context, name string, r platform.Record) error {
	e := p.remote(name)
	if e == nil || !e.waitConnected(ctx) {
		return verdict.New(verdict.DidNotRun, "peer-unreachable", "node %s cannot be reached", name)
	}
	var out AppendResponse
	if err := e.invokeAlive(ctx, appendMethod, &AppendRequest{Key: r.Key, Value: r.Value}, &out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, "peer-silent")
	}
	if out.Verdict == verdict.DidRun {
		return nil
	}
	return verdict.New(out.Verdict, "peer-not-stored", "node %s: %s", name, out.Reason)
}

// OwnerActs asks a node whether it acts as the owner that holds the token.
func (p *Pool) OwnerActs(ctx context.Context, name string, token int64) (bool, error) {
	e := p.remote(name)
	if e == nil {
		return false, eris.Errorf("node %s is not known", name)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out OwnerStatusResponse
	err := e.invoke(ctx, statusMethod, &OwnerStatusRequest{Token: token}, &out)
	return out.Acts, err
}

// remote returns the endpoint of another node, nil if it is not known.
func (p *Pool) remote(name string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.endpoints, func(e *endpoint) bool { return e.name == name && e.local == nil })
	if i < 0 {
		return nil
	}
	return p.endpoints[i]
}

// CanForward reports whether there is a node that calls can be forwarded to.
func (p *Pool) CanForward() bool { return len(p.forwardTargets()) > 0 }

// RequestTakeover asks all other followers to take over from the owner that holds
// the token. It does not wait for their responses, and reports whether there are any
// followers.
func (p *Pool) RequestTakeover(token int64) bool {
	targets := p.forwardTargets()
	for _, e := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
			defer cancel()
			if err := e.invoke(ctx, takeoverMethod, &TakeoverRequest{Token: token}, &TakeoverResponse{}); err != nil {
				p.log.Info("A node could not be asked to take over the ownership.", "node", e.name, "error", err)
			}
		}()
	}
	return len(targets) > 0
}
