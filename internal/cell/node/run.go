package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
)

const (
	// unreadyFor is how long the node still serves after it reports itself not
	// ready: the platform needs two misses, a second apart, to stop sending.
	unreadyFor = 2300 * time.Millisecond
	// stopMargin is left of the grace period.
	stopMargin = 700 * time.Millisecond
	// handOverFor bounds the wait for another node to take the ownership over.
	handOverFor = 1200 * time.Millisecond
	// releaseFor bounds the release of the ownership.
	releaseFor = 1500 * time.Millisecond
	// Limits of connections of callers, until limits are published.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
)

// Run serves until ctx ends and the planned stop is over.
func (n *Node) Run(ctx context.Context) error {
	callers, err := listen(n.s.Listen.Callers)
	if err != nil {
		return err
	}
	status, err := listen(n.s.Listen.Status)
	if err != nil {
		return err
	}
	others, err := listen(n.s.Listen.Peers)
	if err != nil {
		return err
	}
	n.self.Address = others.Addr().String()
	handler, err := n.routes()
	if err != nil {
		return err
	}
	errLog := slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errLog}
	statusServer := &http.Server{Handler: http.HandlerFunc(n.serveStatus), ReadHeaderTimeout: headerTimeout, ErrorLog: errLog}
	peerServer := peers.NewServer(n)

	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	n.start(work)
	failed := make(chan error, 3)
	go func() { failed <- server.Serve(callers) }()
	go func() { failed <- statusServer.Serve(status) }()
	go func() { failed <- peerServer.Serve(others) }()
	go n.reload(work)
	n.log.Info("node: The process serves.", "node", n.self.Name, "boot", n.self.Boot, "callers", callers.Addr().String(), "status", status.Addr().String())
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	n.drain(server)
	stopWork()
	n.terms.Wait()
	peerServer.Stop()
	_ = statusServer.Close() // nothing waits for its answers
	n.log.Info("node: The process stops.", "node", n.self.Name)
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// start runs everything that follows the platform.
func (n *Node) start(ctx context.Context) {
	go n.desires.Run(ctx)
	go n.nodes.Run(ctx)
	go n.appender.Run(ctx)
	go n.announcer.Run(ctx)
	go n.announce(ctx)
	go n.followWork(ctx)
}

// reload tells of changed settings files. All settings belong to the life of a
// process, so that a changed file takes effect at the next start.
func (n *Node) reload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			n.log.Info("node: The settings file has changed; it takes effect at the next start.", "node", n.self.Name)
		}
	}
}

// drain stops in good order: the ownership is released, new connections go
// elsewhere, and every call that has arrived is answered.
func (n *Node) drain(server *http.Server) {
	begun := time.Now()
	n.log.Info("node: The planned stop begins.", "node", n.self.Name)
	n.draining.Store(true)
	n.front.Drain()
	n.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), releaseFor)
	n.release(ctx)
	cancel()
	n.left.Store(true)
	n.announceNow()
	time.Sleep(unreadyFor - time.Since(begun))
	ctx, cancel = context.WithTimeout(context.Background(), config.Seconds(n.s.Bounds.GraceSeconds)-stopMargin-time.Since(begun))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		n.log.Warn("node: Calls were open at the end of the planned stop.", "error", err)
	}
}

// routes puts the front door behind the go-zero router. Its middlewares stay
// off: breaker, shedding and timeout answer without knowledge of the outcome.
func (n *Node) routes() (http.Handler, error) {
	srv, err := rest.NewServer(rest.RestConf{ServiceConf: service.ServiceConf{Name: "front", Mode: service.RtMode}},
		rest.WithNotFoundHandler(n.front), rest.WithNotAllowedHandler(n.front))
	if err != nil {
		return nil, eris.Wrap(err, "set up the HTTP routes")
	}
	routes, err := rest.NewServerless(srv)
	if err != nil {
		return nil, eris.Wrap(err, "bind the HTTP routes")
	}
	return http.HandlerFunc(routes.Serve), nil
}
