package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/handler"

	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// upstreamsPrefix is the path prefix of requests to upstreams.
const upstreamsPrefix = "/v1/upstreams/"

// Server is the HTTP server of an entry node. It can be used as an http.Handler,
// or serve listeners itself.
type Server struct {
	cfg            Config
	backend        Backend
	log            *slog.Logger
	routes         *rest.Serverless
	upstreams      http.Handler
	callerServer   http.Server
	operatorServer http.Server
	streamSlots    chan struct{}
	stopping       chan struct{}
	stopOnce       sync.Once
}

var captureLogsOnce sync.Once

// New returns a server for a backend.
func New(cfg Config, b Backend) (*Server, error) {
	if cfg.MaxJobBytes <= 0 || cfg.MaxBatchBytes <= 0 || cfg.MaxPublicationBytes <= 0 || cfg.MaxBatchJobs <= 0 || cfg.MaxWatches <= 0 {
		return nil, eris.New("MaxJobBytes, MaxBatchBytes, MaxPublicationBytes, MaxBatchJobs and MaxWatches must be above zero")
	}
	if cfg.OperatorToken == "" && !cfg.OperatorsOpen {
		return nil, eris.New("an operator token is required unless operator routes are open")
	}
	if cfg.HeartbeatInterval <= 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	if cfg.DefaultDeadline <= 0 {
		cfg.DefaultDeadline = defaultDeadline
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		cfg: cfg, backend: b, log: logging.WithComponent(cfg.Log, "gateway"),
		streamSlots: make(chan struct{}, cfg.MaxWatches), stopping: make(chan struct{}),
	}
	if cfg.Upstreams != nil {
		s.upstreams = handler.RecoverHandler(cfg.Upstreams)
	}
	if err := s.addRoutes(); err != nil {
		return nil, err
	}
	s.configureServer(&s.callerServer, s)
	s.configureServer(&s.operatorServer, http.HandlerFunc(s.handleOperatorRequest))
	return s, nil
}

// configureServer sets the handler, timeouts and limits of a server.
func (s *Server) configureServer(server *http.Server, h http.Handler) {
	server.Handler = h
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
}

// addRoutes builds the go-zero router. Only the recover middleware is enabled:
// the breaker, shedding and timeout middlewares respond without knowing the
// verdict of the operation.
func (s *Server) addRoutes() error {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "gateway", Mode: service.RtMode},
		Middlewares: rest.MiddlewaresConf{Recover: true},
	}
	srv, err := rest.NewServer(conf,
		rest.WithNotFoundHandler(http.HandlerFunc(s.notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(s.notAllowed)))
	if err != nil {
		return eris.Wrap(err, "set up the HTTP routes")
	}
	captureLogsOnce.Do(func() { logging.CaptureGoZero(s.cfg.Log) })
	srv.AddRoutes(s.routeTable())
	s.routes, err = rest.NewServerless(srv)
	return eris.Wrap(err, "bind the HTTP routes")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// This is the default for responses that set no verdict, such as one after a
	// panic: nothing is known about the operation.
	w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
	if strings.HasPrefix(r.URL.Path, upstreamsPrefix) && s.upstreams != nil {
		s.upstreams.ServeHTTP(w, r)
		return
	}
	s.routes.Serve(w, r)
}

// Serve serves callers and operators on a listener. It returns nil after
// Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	return s.serveListener(&s.callerServer, l)
}

// serveListener serves a listener until the server is shut down or closed.
func (s *Server) serveListener(server *http.Server, l net.Listener) error {
	s.log.Info("Listening.", "address", l.Addr().String())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stopping) })
	return eris.Wrap(errors.Join(s.callerServer.Close(), s.operatorServer.Close()), "close the HTTP server")
}

// Shutdown closes the listeners, ends watches, which callers can resume on
// another node, and waits for all other requests until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopping) })
	return eris.Wrap(errors.Join(s.callerServer.Shutdown(ctx), s.operatorServer.Shutdown(ctx)), "shut down the HTTP server")
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.writeProblem(w, refusal(CodeNotFound, "no such path"))
}

func (s *Server) notAllowed(w http.ResponseWriter, r *http.Request) {
	s.writeProblem(w, refusal(CodeMethodNotAllowed, "the path does not accept the method "+r.Method))
}
