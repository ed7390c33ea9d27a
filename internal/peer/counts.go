package peer

import (
	"context"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Counts counts messages and bytes per method. It is a gRPC stats handler for
// servers and clients. Methods unknown to the service are not counted.
type Counts struct{ methods map[string]*counter }

// NewCounts returns Counts that also report to scope.
func NewCounts(scope tally.Scope) *Counts {
	c := &Counts{methods: map[string]*counter{}}
	for _, m := range peerv1.Peer_ServiceDesc.Methods {
		c.methods["/"+peerv1.Peer_ServiceDesc.ServiceName+"/"+m.MethodName] = newCounter(scope, m.MethodName)
	}
	return c
}

// Snapshot returns the counts by method name.
func (c *Counts) Snapshot() map[string]Count {
	out := make(map[string]Count, len(c.methods))
	for _, m := range peerv1.Peer_ServiceDesc.Methods {
		out[m.MethodName] = c.methods["/"+peerv1.Peer_ServiceDesc.ServiceName+"/"+m.MethodName].snapshot()
	}
	return out
}

type counterKey struct{}

// TagRPC implements stats.Handler.
func (c *Counts) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, counterKey{}, c.methods[info.FullMethodName])
}

// HandleRPC implements stats.Handler.
func (c *Counts) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if h, ok := s.(*stats.OutHeader); ok && h.Client {
		markSent(ctx)
	}
	m, _ := ctx.Value(counterKey{}).(*counter)
	if m == nil {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		m.addReceived(1, s.WireLength)
	case *stats.OutPayload:
		m.addSent(1, s.WireLength)
	case *stats.InHeader:
		m.addReceived(0, s.WireLength)
	case *stats.InTrailer:
		m.addReceived(0, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (c *Counts) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *Counts) HandleConn(context.Context, stats.ConnStats) {}
