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
)

const (
	// longCall divides calls: a short one must not wait behind a long one.
	longCall = 150 * time.Millisecond
	// shortInFlight is how many short calls a lane takes at a time: one is
	// answered while the next one travels.
	shortInFlight = 2
	// downFor is how long a lane is not used after a failed call.
	downFor = time.Second
	// connectFor bounds the wait for a connection: to a machine that is gone it
	// would last for the caller's whole patience.
	connectFor = 250 * time.Millisecond
	// Pauses between attempts to connect.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	backoffGrows = 1.6
	// probeAfter and unackedFor end a connection that has gone silent. The library
	// sets TCP_USER_TIMEOUT to the second one.
	probeAfter = 10 * time.Second
	unackedFor = time.Second
)

// lane is a node as a way to the advice service.
type lane struct {
	name, address string
	// follows is set if the node can answer calls that are forwarded to it.
	follows bool
	// local is set for the lane of this node.
	local     Handler
	conn      *grpc.ClientConn
	short     int
	long      int
	downUntil time.Duration
}

// takes reports whether the lane is free for a call.
func (l *lane) takes(long bool, now time.Duration) bool {
	if now < l.downUntil || l.long > 0 {
		return false
	}
	if long {
		return l.short == 0
	}
	return l.short < shortInFlight
}

func (l *lane) call(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error) {
	if l.local != nil {
		return l.local.Advise(ctx, r)
	}
	var out AdviseResponse
	return &out, l.invoke(ctx, adviseMethod, r, &out)
}

func (l *lane) invoke(ctx context.Context, method string, request, response any) error {
	return l.conn.Invoke(ctx, "/"+serviceName+"/"+method, request, response, grpc.CallContentSubtype(codecName))
}

// follow sets whether the node answers forwarded calls. The connection to such a
// node is opened at once, and shows when its process ends.
func (l *lane) follow(follows bool) {
	l.follows = follows
	if follows && l.conn != nil {
		l.conn.Connect()
	}
}

// connected returns once the lane's connection is ready, or false after a while.
func (l *lane) connected(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, connectFor)
	defer cancel()
	for {
		state := l.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		l.conn.Connect()
		if !l.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeAfter, Timeout: unackedFor}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: backoffGrows, MaxDelay: maxBackoff},
			MinConnectTimeout: unackedFor,
		}))
	return conn, eris.Wrapf(err, "connect to node at %s", address)
}
