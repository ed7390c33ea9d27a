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

// AdviseRequest asks a node to call the advice service.
type AdviseRequest struct {
	Group cell.GroupID `json:"group"`
	Hosts []string     `json:"hosts"`
}

// AdviseResponse holds a ticket for each approved host.
type AdviseResponse struct {
	Tickets map[string]string `json:"tickets"`
}

// ForwardRequest is a caller's call that the sender cannot answer itself,
// since it does not reach the store.
type ForwardRequest struct {
	Method        string `json:"method"`
	Host          string `json:"host"`
	Path          string `json:"path"`
	Authorization string `json:"authorization,omitempty"`
	Body          []byte `json:"body,omitempty"`
	// Version is that of the sender's desired state. A call is not answered by
	// an older one than it has already been shown.
	Version int64 `json:"version"`
}

// ForwardResponse is the answer to a call.
type ForwardResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
	// RetryAfterSeconds is zero if the caller needs no wait.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Desired is the stored desired state, if it is newer than the sender's.
	Desired []byte `json:"desired,omitempty"`
}

// Changes reports whether the call stores something.
func (r *ForwardRequest) Changes() bool { return r.Method != http.MethodGet }

// final reports whether an answer can be passed on. Once an earlier node may have
// stored what the caller sent, a refusal by a later one would be untrue.
func (a *ForwardResponse) final(r *ForwardRequest, earlier verdict.Verdict) bool {
	if a.Status == http.StatusServiceUnavailable {
		return false
	}
	return earlier == verdict.DidNotRun || !r.Changes() || a.Status == http.StatusOK
}

// YieldRequest tells that the owner with a token does not reach the store.
type YieldRequest struct {
	Token int64 `json:"token"`
}

// YieldResponse is empty.
type YieldResponse struct{}

// Handler is what a node does for others.
type Handler interface {
	Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error)
	Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error)
	Yield(ctx context.Context, r *YieldRequest) (*YieldResponse, error)
}

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		method(adviseMethod, Handler.Advise),
		method(forwardMethod, Handler.Forward),
		method(yieldMethod, Handler.Yield),
	},
}

// method describes a call whose request is of type Q and whose answer is of type A.
func method[Q, A any](name string, do func(Handler, context.Context, *Q) (*A, error)) grpc.MethodDesc {
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

// NewServer returns a grpc server for a handler.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: probeAfter / 2, PermitWithoutStream: true}))
	s.RegisterService(&description, h)
	return s
}

// bufferBytes keeps the memory of a connection small; messages are short.
const bufferBytes = 4 << 10
