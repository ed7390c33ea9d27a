package peer

import (
	"context"
	"errors"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Server answers calls of other entry nodes.
type Server struct{ grpc *grpc.Server }

// NewServer returns a Server that passes calls to handler and counts them.
func NewServer(handler Handler, counts *Counts) *Server {
	s := grpc.NewServer(
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(sendVerdict),
		grpc.StatsHandler(counts),
	)
	peerv1.RegisterPeerServer(s, service{Handler: handler})
	return &Server{grpc: s}
}

// Serve accepts connections until Stop or GracefulStop, or an error.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// GracefulStop stops accepting connections and calls, and waits for the calls in
// progress.
func (s *Server) GracefulStop() { s.grpc.GracefulStop() }

// Stop closes all connections and aborts the calls in progress.
func (s *Server) Stop() { s.grpc.Stop() }

// sendVerdict puts the verdict and code of a handler's error into the trailer.
func sendVerdict(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	resp, err := next(ctx, req)
	if err == nil {
		return resp, nil
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		// This fails only if the stream has ended. The caller then gets the
		// verdict MayHaveRun.
		_ = grpc.SetTrailer(ctx, metadata.Pairs(verdictKey, e.Verdict.String(), codeKey, e.Code))
		err = status.Error(codes.FailedPrecondition, e.Error())
	}
	return nil, err
}
