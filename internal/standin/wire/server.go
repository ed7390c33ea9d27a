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

// Server serves the routes of a stand-in over HTTP on a loopback address.
type Server struct {
	http     *http.Server
	listener net.Listener
	// Traffic counts the bytes of all calls.
	Traffic Traffic
}

// Serve starts a server. An empty address stands for a port of loopback that
// the kernel chooses. Close ends it.
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

// Close ends the server and cuts its connections. New ones are refused from its
// return on.
func (s *Server) Close() error {
	// http.Server does not know the listener before its goroutine has run.
	_ = s.listener.Close()
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close a stand-in")
	}
	return nil
}

// newHandler returns a go-zero router without middlewares. The breaker and the
// shedder would add refusals that the stand-in was not told to make, and the
// recover middleware would turn a lost answer into status 500.
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
