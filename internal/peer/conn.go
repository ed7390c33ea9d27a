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

// conn is one connection to a peer. It closes after it was replaced and its
// last call has ended, so that a replacement cuts off no call.
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
			Time: probeInterval, Timeout: probeTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithStatsHandler(counts),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer at %s", address)
	}
	return &conn{cc: cc}, nil
}

// begin notes a call; ok is false if the connection was replaced meanwhile.
func (c *conn) begin() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.calls++
	return true
}

func (c *conn) end() {
	c.mu.Lock()
	c.calls--
	last := c.retired && c.calls == 0
	c.mu.Unlock()
	if last {
		_ = c.cc.Close() // It fails only if it is closed already.
	}
}

func (c *conn) retire() {
	c.mu.Lock()
	last := !c.retired && c.calls == 0
	c.retired = true
	c.mu.Unlock()
	if last {
		_ = c.cc.Close() // It fails only if it is closed already.
	}
}
