package peers

import (
	"context"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	serviceName   = "medlarpulley.cell.v1.Peer"
	adviseMethod  = "Advise"
	forwardMethod = "Forward"
	yieldMethod   = "Yield"
)

// AdviseRequest asks a node to call the advice service for a group of tasks.
type AdviseRequest struct {
	Group cell.GroupID `json:"group"`
	Hosts []string     `json:"hosts"`
}

// AdviseResponse holds the tickets of the approved hosts by host.
type AdviseResponse struct {
	Tickets map[string]string `json:"tickets"`
}

// ForwardRequest is a caller's call that the sender cannot answer itself, since the
// store does not answer it or it does not follow the work topic.
type ForwardRequest struct {
	Method        string `json:"method"`
	Host          string `json:"host"`
	Path          string `json:"path"`
	Authorization string `json:"authorization,omitempty"`
	Body          []byte `json:"body,omitempty"`
	// DesiredVersion is the version of the sender's desired state. The call must not
	// be answered under an older version than the sender's.
	DesiredVersion int64 `json:"version"`
}

// ForwardResponse is the HTTP response to a call.
type ForwardResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
	// RetryAfterSeconds is the value of the Retry-After header; zero omits it.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Desired is the record of the desired state of the answering node, if its
	// version is newer than the sender's.
	Desired []byte `json:"desired,omitempty"`
}

// IsWrite reports whether the call stores a record.
func (r *ForwardRequest) IsWrite() bool { return r.Method != http.MethodGet }

// canPassOn reports whether the response can be passed on to the caller. A response
// with status 503 cannot: the next node may be able to answer. earlier is the
// verdict of the previous attempts: once another node may have stored the record of
// the call, a refusal by a later node could be wrong.
func (resp *ForwardResponse) canPassOn(r *ForwardRequest, earlier verdict.Verdict) bool {
	if resp.Status == http.StatusServiceUnavailable {
		return false
	}
	return earlier == verdict.DidNotRun || !r.IsWrite() || resp.Status == http.StatusOK
}

// YieldRequest says that the owner that holds the token gives up the ownership,
// since it cannot reach the store or is shutting down.
type YieldRequest struct {
	Token int64 `json:"token"`
}

// YieldResponse is empty.
type YieldResponse struct{}

// Handler serves the calls of other nodes.
type Handler interface {
	Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error)
	Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error)
	Yield(ctx context.Context, r *YieldRequest) (*YieldResponse, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		methodDesc(adviseMethod, Handler.Advise),
		methodDesc(forwardMethod, Handler.Forward),
		methodDesc(yieldMethod, Handler.Yield),
	},
}

// methodDesc describes a gRPC method with request type Q and response type A.
func methodDesc[Q, A any](name string, do func(Handler, context.Context, *Q) (*A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			request := new(Q)
			if err := decode(request); err != nil {
				return nil, err
			}
			return do(srv.(Handler), ctx, request)
		},
	}
}

// NewServer returns a gRPC server that calls h.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}))
	s.RegisterService(&serviceDesc, h)
	return s
}

// connBufferBytes is the size of the read and write buffers of a connection. It is
// small to save memory, since messages are short.
const connBufferBytes = 4 << 10
