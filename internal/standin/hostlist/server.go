package hostlist

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/medlarpulley/medlarpulley/internal/standin/wire"
)

// Server serves a Service over HTTP on a loopback address.
type Server struct {
	*Service
	http     *http.Server
	listener net.Listener
	// Traffic counts the bytes of all calls.
	Traffic wire.Traffic
}

// Serve starts a server. An empty address stands for a port of loopback that
// the kernel chooses. Close ends it.
func Serve(s *Service, address string) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	handler, err := newHandler(s.routes())
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "hosts stand-in: listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	out := &Server{Service: s, http: server, listener: listener}
	go func() { _ = server.Serve(out.Traffic.Listen(listener)) }()
	return out, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close ends the server and cuts its connections. New ones are refused from its
// return on.
func (s *Server) Close() error {
	// http.Server does not know the listener before its goroutine has run.
	_ = s.listener.Close()
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "hosts stand-in: close")
	}
	return nil
}

// newHandler returns a go-zero router without middlewares. The breaker and the
// shedder would add refusals that the stand-in was not told to make, and the
// recover middleware would turn a lost answer into status 500.
func newHandler(routes []rest.Route) (http.Handler, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: "standin-hosts", Mode: service.TestMode,
			Log: logx.LogConf{Mode: "console", Level: "severe"},
		},
		Middlewares: rest.MiddlewaresConf{},
	}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, eris.Wrap(err, "hosts stand-in: create the router")
	}
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrap(err, "hosts stand-in: bind the routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}
