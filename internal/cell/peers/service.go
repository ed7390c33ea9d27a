package peers

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	serviceName    = "medlarpulley.cell.v1.Peer"
	adviseMethod   = "Advise"
	forwardMethod  = "Forward"
	takeoverMethod = "Yield"
	statusMethod   = "OwnerStatus"
	appendMethod   = "Append"
)

// AdviseRequest asks a node to call the advice service for a group of tasks.
type AdviseRequest struct {
	Group cell.GroupID `json:"group"`
	Hosts []string     `json:"hosts"`
	// Token is the fencing token of the owner that asks.
	Token int64 `json:"token,omitempty"`
	// Duration is how long the service takes for the call.
	Duration time.Duration `json:"duration,omitempty"`
}

// AdviseResponse holds the tickets of the approved hosts by host, or why the service
// was not called.
type AdviseResponse struct {
	Tickets map[string]string `json:"tickets"`
	Refusal advice.Refusal    `json:"refusal,omitempty"`
	// FreeIn is when a node that refused since the service is busy may be asked again.
	FreeIn time.Duration `json:"free_in,omitempty"`
}

// CallRequest is the HTTP call of a caller, which a node answers itself or forwards
// to another node.
type CallRequest struct {
	Method        string `json:"method"`
	Host          string `json:"host"`
	Path          string `json:"path"`
	Authorization string `json:"authorization,omitempty"`
	Body          []byte `json:"body,omitempty"`
	// DesiredVersion is the version of the desired state of the node that forwards the
	// call. The call must not be answered under an older version.
	DesiredVersion int64 `json:"version"`
	// MayBeStored is set if an earlier attempt of the call may have been stored, or may still
	// be. The call must not be refused then. Earlier versions leave it out, which means no.
	MayBeStored bool `json:"may_be_stored,omitempty"`
}

// CallResponse is the HTTP response to a call.
type CallResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
	// RetryAfterSeconds is the value of the Retry-After header; zero omits it.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Final is set for a refusal with status 503 that another node would repeat: the cause is
	// the cell, not the node.
	Final bool `json:"final,omitempty"`
	// NothingSent is set for a response with status 504 whose call itself has sent nothing to
	// the store.
	NothingSent bool `json:"nothing_sent,omitempty"`
	// Desired is the record of the desired state of the answering node, if its
	// version is newer than that of the forwarding node.
	Desired []byte `json:"desired,omitempty"`
	// Node is the node that answered a forwarded call. The forwarding node sets it.
	Node string `json:"-"`
}

// IsWrite reports whether the call stores a record.
func (r *CallRequest) IsWrite() bool { return r.Method != http.MethodGet }

// Succeeded reports whether the status is one of success.
func (resp *CallResponse) Succeeded() bool { return resp.Status >= 200 && resp.Status < 300 }

// validStatus reports whether the status is one that a caller can be given.
func (resp *CallResponse) validStatus() bool { return resp.Status >= 200 && resp.Status < 600 }

// canPassOn reports whether the response can be passed on to the caller. A response
// with status 503 cannot: the next node may be able to answer. earlier is the
// verdict of the previous attempts: once another node may have stored the record of
// the call, a refusal by a later node could be wrong.
func (resp *CallResponse) canPassOn(r *CallRequest, earlier verdict.Verdict) bool {
	if resp.Status == http.StatusServiceUnavailable && !resp.Final {
		return false
	}
	return earlier == verdict.DidNotRun || !r.IsWrite() || resp.Succeeded()
}

// TakeoverRequest asks a node to claim the ownership in place of the owner that
// holds the token, which cannot reach the store or is shutting down. That owner may
// act until it is replaced, its authority expires or it releases the ownership.
type TakeoverRequest struct {
	Token int64 `json:"token"`
}

// TakeoverResponse is empty.
type TakeoverResponse struct{}

// OwnerStatusRequest asks a node whether it acts as the owner that holds the token.
type OwnerStatusRequest struct {
	Token int64 `json:"token"`
}

// OwnerStatusResponse is the answer to an OwnerStatusRequest.
type OwnerStatusResponse struct {
	Acts bool `json:"acts"`
}

// AppendRequest asks a node to append a record of a caller to the work topic.
type AppendRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// AppendResponse is the answer to an AppendRequest. Verdict is DidRun if the record
// is stored, and DidNotRun only if it is not stored and never will be.
type AppendResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason,omitempty"`
}

// Handler serves the calls of other nodes.
type Handler interface {
	Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error)
	Forward(ctx context.Context, r *CallRequest) (*CallResponse, error)
	HandleTakeoverRequest(ctx context.Context, r *TakeoverRequest) (*TakeoverResponse, error)
	OwnerStatus(ctx context.Context, r *OwnerStatusRequest) (*OwnerStatusResponse, error)
	AppendRecord(ctx context.Context, r *AppendRequest) (*AppendResponse, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		methodDesc(adviseMethod, Handler.Advise),
		methodDesc(forwardMethod, Handler.Forward),
		methodDesc(takeoverMethod, Handler.HandleTakeoverRequest),
		methodDesc(statusMethod, Handler.OwnerStatus),
		methodDesc(appendMethod, Handler.AppendRecord),
	},
}

// methodDesc describes a gRPC method with request type Q and response type A.
func methodDesc[Q, A any](name string, do func(Handler, context.Context, *Q) (*A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (response any, err error) {
			// gRPC recovers no panic; without this, one call could end the process.
			defer func() {
				if p := recover(); p != nil {
					response, err = nil, status.Errorf(codes.Internal, "call of %s failed unexpectedly: %v\n%s", name, p, debug.Stack())
				}
			}()
			request := new(Q)
			in := newIncoming(ctx, request)
			defer in.release()
			if err := decode(in); err != nil {
				return nil, err
			}
			if in.refused {
				return refusal(name)
			}
			return do(srv.(Handler), ctx, request)
		},
	}
}

// NewServer returns a gRPC server that calls h, with further options.
func NewServer(h Handler, more ...grpc.ServerOption) *grpc.Server {
	s := grpc.NewServer(append([]grpc.ServerOption{
		grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}, more...)...)
	s.RegisterService(&serviceDesc, h)
	return s
}

// connBufferBytes is the size of the read and write buffers of a connection. It is
// small to save memory, since messages are short.
const connBufferBytes = 4 << 10
