package node

import (
	"log/slog"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/front"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/logging"
)

const (
	// Limits for the connections of operators. A dump of a large cell takes some seconds
	// over a slow connection, and monitoring keeps its connection between two reads.
	statusReadTimeout  = 5 * time.Second
	statusWriteTimeout = 30 * time.Second
	statusIdleTimeout  = 60 * time.Second
	// maxStatusReports is the number of dumps, explanations and reports of metrics that
	// are made at one time, since each takes memory until it has been sent.
	maxStatusReports = 4
)

// clientIntake bounds what clients of the three addresses hold open.
type clientIntake struct {
	bodies          *front.Bodies
	callers, status *connlimit.Limiter
	peers           *peers.Inbound
	// bounds are the bounds while there is memory, memory is that of the process.
	bounds config.Intake
	memory int64
	// statusReports holds an element for each report that is being made.
	statusReports chan struct{}
}

func newClientIntake(s config.Settings, log *slog.Logger) (*clientIntake, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return nil, eris.Wrap(err, "read RLIMIT_NOFILE")
	}
	v := s.Limits.Intake(files.Cur)
	log = logging.WithComponent(log, "intake")
	return &clientIntake{
		bounds: v, memory: s.Limits.MemoryBytes(),
		bodies:        front.NewBodies(v.BodyBytes, config.Millis(s.Limits.BodyTimeoutMs), log),
		callers:       connlimit.New(v.CallerConnections, "callers", log),
		status:        connlimit.New(v.StatusConnections, "status", log),
		peers:         peers.NewInbound(v.PeerBytes, connlimit.New(v.PeerConnections, "peers", log), log),
		statusReports: make(chan struct{}, maxStatusReports),
	}, nil
}

// callerServer returns the server for callers.
func (c *clientIntake) callerServer(handler http.Handler, errLog *slog.Logger) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(errLog.Handler(), slog.LevelDebug),
	}
	c.callers.Attach(s)
	return s
}

// statusServer returns the server for operators.
func (c *clientIntake) statusServer(handler http.HandlerFunc, errLog *slog.Logger) *http.Server {
	s := &http.Server{
		Handler: refuseBodies(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: statusReadTimeout, WriteTimeout: statusWriteTimeout,
		IdleTimeout: statusIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(errLog.Handler(), slog.LevelDebug),
	}
	c.status.Attach(s)
	return s
}

// refuseBodies refuses requests with a body, without reading it.
func refuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		// Otherwise the server reads a part of the body before it closes the connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		http.Error(w, "requests to this address have no body", http.StatusRequestEntityTooLarge)
	})
}

// beginReport returns a function that ends a report to operators, or false if too many
// are being made.
func (c *clientIntake) beginReport() (end func(), ok bool) {
	select {
	case c.statusReports <- struct{}{}:
		return func() { <-c.statusReports }, true
	default:
		return nil, false
	}
}
