package node

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// peerPool keeps one connection to each peer.
type peerPool struct {
	address func(node string) (string, bool)
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

func newPeerPool(address func(node string) (string, bool)) *peerPool {
	return &peerPool{address: address, conns: map[string]*grpc.ClientConn{}}
}

func (p *peerPool) client(node string) (peerv1.PeerClient, error) {
	address, ok := p.address(node)
	if !ok {
		return nil, verdict.New(verdict.DidNotRun, "unknown-peer", "%s is not a member", node)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, verdict.Wrap(err, verdict.DidNotRun, "bad-address")
		}
		p.conns[address] = conn
	}
	return peerv1.NewPeerClient(conn), nil
}

// Renew drops the connection to a peer, which may be silent for good.
func (p *peerPool) Renew(node string) {
	address, _ := p.address(node)
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		delete(p.conns, address)
		_ = conn.Close()
	}
}

func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func peerCall[Req, Resp any](ctx context.Context, p *peerPool, node string, req Req, call func(peerv1.PeerClient, context.Context, Req, ...grpc.CallOption) (Resp, error)) (Resp, error) {
	var none Resp
	client, err := p.client(node)
	if err != nil {
		return none, err
	}
	resp, err := call(client, ctx, req)
	if err != nil {
		return none, verdict.Wrap(err, verdict.MayHaveRun, "peer-call")
	}
	return resp, nil
}

func (p *peerPool) Exchange(ctx context.Context, node string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.Exchange)
}

func (p *peerPool) ConfirmOutage(ctx context.Context, node string, req *peerv1.ConfirmOutageRequest) (*peerv1.ConfirmOutageResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.ConfirmOutage)
}

func (p *peerPool) AcknowledgeClaim(ctx context.Context, node string, req *peerv1.AcknowledgeClaimRequest) (*peerv1.AcknowledgeClaimResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.AcknowledgeClaim)
}

func (p *peerPool) ReserveRequest(ctx context.Context, node string, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.ReserveRequest)
}

func (p *peerPool) FinishRequest(ctx context.Context, node string, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.FinishRequest)
}

func (p *peerPool) LeaseSlots(ctx context.Context, node string, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.LeaseSlots)
}

func (p *peerPool) QueryJob(ctx context.Context, node string, req *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error) {
	return peerCall(ctx, p, node, req, peerv1.PeerClient.QueryJob)
}
