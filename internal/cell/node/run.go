package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

const (
	// unreadyPeriod is how long the node still accepts connections after it reports
	// that it is not ready: the platform stops sending after two failed readiness
	// probes, which are one second apart.
	unreadyPeriod = 2300 * time.Millisecond
	// shutdownMargin is the part of the grace period that open calls may not use.
	shutdownMargin = 700 * time.Millisecond
	// handOverTimeout limits the wait for another node to take over the ownership.
	handOverTimeout = 1200 * time.Millisecond
	// releaseTimeout limits the release of the ownership.
	releaseTimeout = 1500 * time.Millisecond
	// Limits for the connections of callers. The limits in the desired state do not
	// change them.
	headerTimeout  = cell.HeaderTimeout
	idleTimeout    = cell.IdleTimeout
	maxHeaderBytes = cell.HeaderBytes
)

// Run serves callers until ctx ends, then shuts down gracefully and returns. It
// returns an error if it cannot listen, or if one of its servers fails.
func (n *Node) Run(ctx context.Context) error {
	callerListener, err := listen(n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	statusListener, err := listen(n.settings.Listen.Status)
	if err != nil {
		return err
	}
	peerListener, err := listen(n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	n.self.Address = peerListener.Addr().String()
	handler, err := n.newCallerRouter()
	if err != nil {
		return err
	}
	server := n.intake.callerServer(handler, n.log)
	statusServer := n.intake.statusServer(n.serveStatus, n.log)
	peerServer := n.intake.peers.NewServer(n)

	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	n.startBackground(background)
	failed := make(chan error, 3)
	go func() { failed <- server.Serve(callerListener) }()
	go func() { failed <- statusServer.Serve(statusListener) }()
	go func() { failed <- peerServer.Serve(n.intake.peers.Listen(peerListener)) }()
	go n.logReloadSignals(background)
	n.log.Info("node: The process serves.", "node", n.self.Name, "boot", n.self.InstanceID, "callers", callerListener.Addr().String(), "status", statusListener.Addr().String())
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve connections")
	case <-ctx.Done():
	}
	n.drain(server)
	stopBackground()
	n.termGoroutines.Wait()
	peerServer.Stop()
	_ = statusServer.Close() // its open requests need no answer
	n.log.Info("node: The process stops.", "node", n.self.Name)
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// startBackground starts the goroutines that follow the topics of the store and
// that append records.
func (n *Node) startBackground(ctx context.Context) {
	go n.desiredReader.Run(ctx)
	go n.nodesReader.Run(ctx)
	go n.workAppender.Run(ctx)
	go n.heartbeatAppender.Run(ctx)
	go n.sendHeartbeats(ctx)
	go n.followWork(ctx)
	go n.reportIntake(ctx)
}

// logReloadSignals logs that a SIGHUP has no effect on the settings: settings are
// fixed for the lifetime of a process, so a changed file takes effect at the next
// start.
func (n *Node) logReloadSignals(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			n.log.Info("node: SIGHUP received; a changed settings file takes effect at the next start.", "node", n.self.Name)
		}
	}
}

// drain shuts down gracefully: it releases the ownership, reports not ready until
// the platform sends new connections elsewhere, and answers every call that has
// arrived, as far as the grace period allows.
func (n *Node) drain(server *http.Server) {
	startedAt := time.Now()
	n.log.Info("node: The graceful shutdown begins.", "node", n.self.Name)
	n.draining.Store(true)
	n.callerHandler.Drain()
	n.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	n.release(ctx)
	cancel()
	n.left.Store(true)
	n.triggerHeartbeat()
	time.Sleep(unreadyPeriod - time.Since(startedAt))
	ctx, cancel = context.WithTimeout(context.Background(), config.Seconds(n.settings.Bounds.GraceSeconds)-shutdownMargin-time.Since(startedAt))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		n.log.Warn("node: The grace period ended before all calls were answered.", "error", err)
	}
}

// newCallerRouter returns the HTTP handler for callers. No route is registered with
// go-zero: its router passes every call to front.Handler, which is set as the
// handler of unknown paths and of methods that are not allowed. The middlewares of
// go-zero stay off, since its circuit breaker, load shedding and timeout answer a
// call without knowing whether the work was stored.
func (n *Node) newCallerRouter() (http.Handler, error) {
	srv, err := rest.NewServer(rest.RestConf{ServiceConf: service.ServiceConf{Name: "front", Mode: service.RtMode}},
		rest.WithNotFoundHandler(n.callerHandler), rest.WithNotAllowedHandler(n.callerHandler))
	if err != nil {
		return nil, eris.Wrap(err, "create the go-zero server")
	}
	routes, err := rest.NewServerless(srv)
	if err != nil {
		return nil, eris.Wrap(err, "create the go-zero handler")
	}
	return http.HandlerFunc(routes.Serve), nil
}
