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

// upstreamsPrefix is where the request path handler is mounted.
const upstreamsPrefix = "/v1/upstreams/"

// Server is the HTTP side of an entry node. It is an http.Handler, and can
// serve a listener itself.
type Server struct {
	cfg       Config
	backend   Backend
	log       *slog.Logger
	routes    *rest.Serverless
	upstreams http.Handler
	http      http.Server
	operators http.Server
	watches   chan struct{}
	stopping  chan struct{}
	stopOnce  sync.Once
}

var captureOnce sync.Once

// New returns a server for a backend.
func New(cfg Config, b Backend) (*Server, error) {
	if cfg.MaxJobBytes <= 0 || cfg.MaxBatchBytes <= 0 || cfg.MaxPublicationBytes <= 0 || cfg.MaxBatchJobs <= 0 || cfg.MaxWatches <= 0 {
		return nil, eris.New("every bound of the gateway must be above zero")
	}
	if cfg.OperatorToken == "" && !cfg.OperatorsOpen {
		return nil, eris.New("an operator token is required unless operator routes are open")
	}
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = defaultHeartbeat
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
		cfg: cfg, backend: b, log: logging.Part(cfg.Log, "gateway"),
		watches: make(chan struct{}, cfg.MaxWatches), stopping: make(chan struct{}),
	}
	if cfg.Upstreams != nil {
		s.upstreams = handler.RecoverHandler(cfg.Upstreams)
	}
	if err := s.addRoutes(); err != nil {
		return nil, err
	}
	s.prepare(&s.http, s)
	s.prepare(&s.operators, http.HandlerFunc(s.serveOperators))
	return s, nil
}

// prepare sets the limits of a server.
func (s *Server) prepare(server *http.Server, h http.Handler) {
	server.Handler = h
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = headerTimeout, idleTimeout, maxHeaderBytes
	server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)
}

// addRoutes builds the go-zero router. Only the recover middleware is on:
// breaker, shedding and timeout answer without knowledge of the verdict.
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
	captureOnce.Do(func() { logging.CaptureGoZero(s.cfg.Log) })
	srv.AddRoutes(s.table())
	s.routes, err = rest.NewServerless(srv)
	return eris.Wrap(err, "bind the HTTP routes")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An answer that forgets its verdict, such as one after a panic, must not
	// claim knowledge.
	w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
	if strings.HasPrefix(r.URL.Path, upstreamsPrefix) && s.upstreams != nil {
		s.upstreams.ServeHTTP(w, r)
		return
	}
	s.routes.Serve(w, r)
}

// Serve answers on a listener until Shutdown. It returns nil then.
func (s *Server) Serve(l net.Listener) error {
	return s.serve(&s.http, l)
}

// serve answers on a listener until the server is shut down or closed.
func (s *Server) serve(server *http.Server, l net.Listener) error {
	s.log.Info("Listening.", "address", l.Addr().String())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// Close ends the listener and all connections at once.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stopping) })
	return eris.Wrap(errors.Join(s.http.Close(), s.operators.Close()), "close the HTTP server")
}

// Shutdown closes the listener, ends watches, which callers can resume
// elsewhere, and waits for all other requests until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.stopping) })
	return eris.Wrap(errors.Join(s.http.Shutdown(ctx), s.operators.Shutdown(ctx)), "shut the HTTP server down")
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.fail(w, refusal(CodeNotFound, "no such path"))
}

func (s *Server) notAllowed(w http.ResponseWriter, r *http.Request) {
	s.fail(w, refusal(CodeMethod, "the path does not take "+r.Method))
}
