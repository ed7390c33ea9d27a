package peers

import (
	"context"

	"google.golang.org/grpc"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	serviceName  = "medlarpulley.cell.v1.Peer"
	adviseMethod = "Advise"
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

// Handler is what a node does for others.
type Handler interface {
	Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error)
}

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: adviseMethod,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var r AdviseRequest
			if err := decode(&r); err != nil {
				return nil, err
			}
			return srv.(Handler).Advise(ctx, &r)
		},
	}},
}

// NewServer returns a grpc server for a handler.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes))
	s.RegisterService(&description, h)
	return s
}

// bufferBytes keeps the memory of a connection small; messages are short.
const bufferBytes = 4 << 10
