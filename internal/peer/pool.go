package peer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Pool holds one connection to each peer. Its methods are safe for concurrent
// use. The errors of calls are *verdict.Error.
type Pool struct {
	counts *Counts

	mu     sync.Mutex
	peers  map[string]*peerEntry
	closed bool
}

// peerEntry is one peer with its current connection.
type peerEntry struct {
	address   string
	conn      *conn
	callSlots chan struct{}
}

// NewPool returns a Pool without peers that counts its calls in counts.
func NewPool(counts *Counts) *Pool { return &Pool{counts: counts, peers: map[string]*peerEntry{}} }

// SetPeers replaces the addresses of all peers, given by node name. Connections
// to peers whose address does not change are kept. It fails if there are more
// than MaxPeers peers, if the pool is closed, or if an address is invalid.
func (p *Pool) SetPeers(addresses map[string]string) error {
	if len(addresses) > MaxPeers {
		return eris.Errorf("%d peers exceed the maximum of %d", len(addresses), MaxPeers)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return eris.New("the peer pool is closed")
	}
	for node, t := range p.peers {
		if addresses[node] != t.address {
			t.conn.retire()
			delete(p.peers, node)
		}
	}
	for node, address := range addresses {
		if p.peers[node] != nil {
			continue
		}
		c, err := dial(address, p.counts)
		if err != nil {
			return err
		}
		p.peers[node] = &peerEntry{address, c, make(chan struct{}, MaxInFlight)}
	}
	return nil
}

// Reset replaces the connection to a peer. Calls in progress keep the old
// connection. It fails if the peer is unknown.
func (p *Pool) Reset(node string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.peers[node]
	if t == nil {
		return eris.Errorf("unknown peer %q", node)
	}
	c, err := dial(t.address, p.counts)
	if err != nil {
		return err
	}
	t.conn.retire()
	t.conn = c
	return nil
}

// Close removes all peers. Each connection closes when its calls have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, t := range p.peers {
		t.conn.retire()
	}
	p.peers = map[string]*peerEntry{}
}

// acquire returns the connection to a peer with one more call counted, and the
// semaphore of calls to the peer. The caller must call endCall.
func (p *Pool) acquire(node string) (*conn, chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.peers[node]
	if t == nil || !t.conn.beginCall() {
		return nil, nil, false
	}
	return t.conn, t.callSlots, true
}

// method is a method of the generated client.
type method[Q, R any] func(peerv1.PeerClient, context.Context, *Q, ...grpc.CallOption) (*R, error)

// call sends one request at most once. The verdict of an error is DidNotRun only
// if no stream was created or the handler of the peer returned that verdict.
func call[Q, R any](ctx context.Context, p *Pool, node string, req *Q, send method[Q, R]) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c, slots, ok := p.acquire(node)
	if !ok {
		return nil, verdict.New(verdict.DidNotRun, "unknown-peer", "no connection to peer %q", node)
	}
	defer c.endCall()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return nil, verdict.Wrap(eris.Wrapf(ctx.Err(), "wait for one of %d call slots to peer %q", MaxInFlight, node),
			verdict.DidNotRun, "peer-busy")
	}
	ctx, sent := withSent(ctx)
	var trailer metadata.MD
	resp, err := send(peerv1.NewPeerClient(c.cc), ctx, req, grpc.Trailer(&trailer))
	if err == nil {
		return resp, nil
	}
	return nil, withVerdict(eris.Wrapf(err, "call peer %q", node), sent, trailer)
}

func withVerdict(err error, sent *sentFlag, trailer metadata.MD) error {
	if !sent.Load() {
		return verdict.Wrap(err, verdict.DidNotRun, "peer-unreachable")
	}
	if vs, codes := trailer.Get(verdictKey), trailer.Get(codeKey); len(vs) == 1 && len(codes) == 1 {
		if v, parseErr := verdict.Parse(vs[0]); parseErr == nil {
			return verdict.Wrap(err, v, codes[0])
		}
	}
	return verdict.Wrap(err, verdict.MayHaveRun, "peer-call-failed")
}
