package peer

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// conn is one connection to a peer. Once it is replaced, it closes when its last
// call has ended, so that a replacement does not abort calls.
type conn struct {
	cc *grpc.ClientConn

	mu      sync.Mutex
	calls   int
	retired bool
}

func dial(address string, counts *Counts) (*conn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithStatsHandler(counts),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer at %s", address)
	}
	return &conn{cc: cc}, nil
}

// beginCall counts a call that starts. It returns ok false if the connection has
// been replaced.
func (c *conn) beginCall() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.calls++
	return true
}

func (c *conn) endCall() {
	c.mu.Lock()
	c.calls--
	last := c.retired && c.calls == 0
	c.mu.Unlock()
	if last {
		_ = c.cc.Close() // Close fails only if the connection is already closed.
	}
}

func (c *conn) retire() {
	c.mu.Lock()
	last := !c.retired && c.calls == 0
	c.retired = true
	c.mu.Unlock()
	if last {
		_ = c.cc.Close() // Close fails only if the connection is already closed.
	}
}
