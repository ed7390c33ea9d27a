package wire

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// Server serves the routes of a simulated service over HTTP.
type Server struct {
	http     *http.Server
	listener net.Listener
	// Traffic counts the bytes on all connections.
	Traffic Traffic
}

// Serve starts a server at an address; an empty one means a port of the loopback
// interface that the kernel chooses. Close stops the server. Serve returns an
// error if it cannot create the router or listen on the address.
func Serve(name string, routes []rest.Route, address string) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	handler, err := newHandler(name, routes)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: listen on %s", name, address)
	}
	s := &Server{http: &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}, listener: listener}
	go func() { _ = s.http.Serve(s.Traffic.Listen(listener)) }()
	return s, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server and closes its connections. Once it has returned, new
// connections are refused.
func (s *Server) Close() error {
	// The listener is closed here because http.Server does not know it before
	// the goroutine of Serve has run.
	_ = s.listener.Close()
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close a simulated service")
	}
	return nil
}

// newHandler returns a go-zero router without middlewares. The circuit breaker and
// the load shedder would reject calls although no fault was set, and the recover
// middleware would turn a lost response into status 500.
func newHandler(name string, routes []rest.Route) (http.Handler, error) {
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name, Mode: service.TestMode,
			Log: logx.LogConf{Mode: "console", Level: "severe"},
		},
		Middlewares: rest.MiddlewaresConf{},
	})
	if err != nil {
		return nil, eris.Wrapf(err, "%s: create the router", name)
	}
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: bind the routes", name)
	}
	return http.HandlerFunc(serverless.Serve), nil
}
