package peers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
)

const (
	// longCallThreshold is the expected duration from which an advice call
	// counts as long. Long and short calls are distinguished so that a short
	// one does not wait behind a long one.
	longCallThreshold = 150 * time.Millisecond
	// maxShortInFlight is the greatest number of short calls in flight to an
	// endpoint: one is processed while the next one is on the network.
	maxShortInFlight = 2
	// endpointCooldown is how long an endpoint is not used after a failed call. For advice
	// calls it doubles with each further failure, up to maxAdviceCooldown.
	endpointCooldown  = time.Second
	maxAdviceCooldown = 8 * time.Second
	// cooldownTimerMargin lets the timer at the end of a cooldown end after it on the
	// pool's clock too.
	cooldownTimerMargin = 5 * time.Millisecond
	// connectTimeout limits the wait for a connection. Without it, a connection to a
	// machine that no longer exists would use up the caller's whole deadline.
	connectTimeout = 250 * time.Millisecond
	// Exponential backoff between attempts to connect.
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = time.Second
	backoffMultiplier = 1.6
	// A connection without activity for keepaliveInterval is probed, and is closed if
	// the probe is not answered within keepaliveTimeout. The gRPC library also sets
	// TCP_USER_TIMEOUT to keepaliveTimeout.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = time.Second
)

// endpoint is a node through which the advice service can be called, and to which
// calls can be forwarded.
type endpoint struct {
	name, address string
	// follows is set if the node can answer calls that are forwarded to it.
	follows bool
	// local is set for this node itself, conn for all others.
	local Handler
	conn  *grpc.ClientConn
	// shortInFlight and longInFlight count the advice calls in flight.
	shortInFlight int
	longInFlight  int
	// downUntil is the end of the cooldown after a call that could not be forwarded,
	// adviceDownUntil that after an advice call that failed or was refused.
	downUntil, adviceDownUntil time.Duration
	// adviceCooldown is the cooldown after the last advice call, zero if it was answered.
	adviceCooldown time.Duration
}

// isDown reports whether no advice call may be made through the endpoint.
func (e *endpoint) isDown(now time.Duration) bool { return now < max(e.downUntil, e.adviceDownUntil) }

// adviceFailed returns the cooldown after an advice call that failed.
func (e *endpoint) adviceFailed() time.Duration {
	e.adviceCooldown = min(max(2*e.adviceCooldown, endpointCooldown), maxAdviceCooldown)
	return e.adviceCooldown
}

// hasCapacity reports whether the endpoint can take one more advice call.
func (e *endpoint) hasCapacity(long bool, now time.Duration) bool {
	if e.isDown(now) || e.longInFlight > 0 {
		return false
	}
	if long {
		return e.shortInFlight == 0
	}
	return e.shortInFlight < maxShortInFlight
}

// askInTime makes an advice call through the node, for at most twice the time that the
// service takes and adviceTimeoutMargin.
func (e *endpoint) askInTime(ctx context.Context, c advice.Call) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*c.Duration+adviceTimeoutMargin)
	defer cancel()
	r, err := e.advise(ctx, &AdviseRequest{Group: c.Group, Hosts: c.Hosts, Token: c.Token, Duration: c.Duration})
	if err != nil {
		return nil, err
	}
	return r.Tickets, r.refusalError()
}

// refusalError returns the error of a call that the node refused, nil if it called the
// service.
func (r *AdviseResponse) refusalError() error {
	switch r.Refusal {
	case advice.NotRefused:
		return nil
	case advice.RefusedStale:
		return advice.ErrStale
	default:
		return &advice.BusyError{FreeIn: r.FreeIn}
	}
}

func (e *endpoint) advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error) {
	if e.local != nil {
		return e.local.Advise(ctx, r)
	}
	var out AdviseResponse
	if err := e.invoke(ctx, adviseMethod, r, &out); err != nil {
		return nil, err
	}
	if out.Refusal == advice.NotRefused && out.Tickets == nil {
		return nil, eris.Errorf("node %s answered without tickets", e.name) // it would deny every host
	}
	return &out, nil
}

func (e *endpoint) invoke(ctx context.Context, method string, request, response any) error {
	return e.conn.Invoke(ctx, "/"+serviceName+"/"+method, request, response, grpc.CallContentSubtype(codecName))
}

// invokeAlive calls a method and waits for the response as long as the node answers
// that it is alive. The response may be used only if the error is nil.
func (e *endpoint) invokeAlive(ctx context.Context, method string, request, response any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.invoke(ctx, method, request, response) }()
	for {
		probe := time.NewTimer(probeDelay)
		select {
		case err := <-done:
			probe.Stop()
			return err
		case <-probe.C:
		}
		if err := e.probe(ctx); err != nil {
			cancel()
			<-done
			return eris.Wrapf(err, "node %s does not answer", e.name)
		}
	}
}

// probe asks the node whether it is alive.
func (e *endpoint) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return e.invoke(ctx, statusMethod, &OwnerStatusRequest{}, &OwnerStatusResponse{})
}

// setFollows sets whether the node answers forwarded calls. The connection to such
// a node is opened at once: when it breaks, the node's process may have exited.
func (e *endpoint) setFollows(follows bool) {
	e.follows = follows
	if follows && e.conn != nil {
		e.conn.Connect()
	}
}

// waitConnected waits until the connection is ready. It returns false after
// connectTimeout, or when ctx ends.
func (e *endpoint) waitConnected(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := e.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		e.conn.Connect()
		if !e.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: backoffMultiplier, MaxDelay: maxBackoff},
			MinConnectTimeout: keepaliveTimeout,
		}))
	return conn, eris.Wrapf(err, "connect to node at %s", address)
}
