package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// silentProbes is the number of probes in a row that must not list a request
// before its connection counts as silent. One is too few: the request may
// have ended just before the probe, with its answer under way.
const silentProbes = 2

// watch suspects a connection that makes no progress. A fresh connection asks
// the runner; if it answers and no longer works on the request, the old
// connection is given up and the idle ones beside it are closed.
type watch struct {
	client  *HTTPClient
	address string
	id      string
	conns   *connections
	cancel  context.CancelCauseFunc
	probe   context.Context
	end     context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	moved   int
	missed  int
	stopped bool
}

func newWatch(c *HTTPClient, address, id string, conns *connections, cancel context.CancelCauseFunc) *watch {
	w := &watch{client: c, address: address, id: id, conns: conns, cancel: cancel}
	w.probe, w.end = context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.options.SuspectAfter, w.suspect)
	return w
}

// expect starts the time for the next progress. A body that its reader does
// not read makes none and is not suspect.
func (w *watch) expect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.client.options.SuspectAfter)
	}
}

func (w *watch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moved++
	w.missed = 0
	w.timer.Stop()
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.end()
}

func (w *watch) suspect() {
	w.mu.Lock()
	moved := w.moved
	w.mu.Unlock()
	status, err := w.client.Status(w.probe, w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.moved != moved {
		return
	}
	if err == nil && !slices.Contains(status.Requests, w.id) {
		w.missed++
	}
	if w.missed < silentProbes {
		w.timer.Reset(w.client.options.SuspectAfter)
		return
	}
	w.conns.close()
	w.cancel(verdict.New(verdict.MayHaveRun, CodeSilent,
		"the connection to %s made no progress while new ones answered", w.address))
}
