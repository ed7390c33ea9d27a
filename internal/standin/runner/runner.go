// Package runner is a stand-in for a runner. It has a fixed number of slots,
// keeps its own record of every execution and has faults on command. It is a
// plain net/http handler: go-zero's rest server can neither close a
// connection without an answer nor send half a body.
package runner

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/rotisserie/eris"
)

// Slots is the number of slots of a runner.
const Slots = 8

// ControlPath takes a Fault as JSON by POST, and "leaving" or "silent" as the
// last part of the path.
const ControlPath = "/standin/"

// Runner is one stand-in runner on a port of its own.
type Runner struct {
	listener *listener
	server   *http.Server
	served   chan struct{}
	record   record

	mu       sync.Mutex
	fault    Fault
	left     int
	leaving  bool
	inFlight map[string]int
	taken    int
	gate     chan struct{}
	arrived  chan string
	closing  chan struct{}
}

// Start starts a runner on a port of the loopback interface that the kernel
// chooses.
func Start() (*Runner, error) { return StartAt("127.0.0.1:0") }

// StartAt starts a runner at an address.
func StartAt(address string) (*Runner, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a stand-in runner")
	}
	r := &Runner{
		listener: &listener{Listener: l, conns: map[*silentConn]bool{}},
		served:   make(chan struct{}), closing: make(chan struct{}),
		record:   record{counts: map[string]int{}},
		inFlight: map[string]int{}, arrived: make(chan string, 1024),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(r.served)
		if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return r, nil
}

// Address returns host and port.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Close stops the runner and all its connections.
func (r *Runner) Close() {
	r.mu.Lock()
	close(r.closing)
	r.mu.Unlock()
	r.server.Close()
	r.listener.each(func(c *silentConn) { c.drop() })
	<-r.served
}

// SetFault sets how the next requests are treated.
func (r *Runner) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.left = f, f.Times
}

// SetLeaving makes the runner say that it is about to go.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SilenceConnections makes all present connections silent for good.
func (r *Runner) SilenceConnections() {
	r.listener.each(func(c *silentConn) { c.silent.Store(true) })
}

// CloseConnections closes all present connections.
func (r *Runner) CloseConnections() { r.listener.each(func(c *silentConn) { c.drop() }) }

// Connections returns the number of open connections.
func (r *Runner) Connections() int {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	return len(r.listener.conns)
}

// Hold makes executions wait until Release.
func (r *Runner) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate == nil {
		r.gate = make(chan struct{})
	}
}

// Release lets held executions go on.
func (r *Runner) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gate != nil {
		close(r.gate)
		r.gate = nil
	}
}

// Arrived tells the ids of requests whose execution began, as far as they fit.
func (r *Runner) Arrived() <-chan string { return r.arrived }

// Executions returns how often a request was executed.
func (r *Runner) Executions(id string) int {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	return r.record.counts[id]
}

// Totals returns the executions, the refused requests and the highest number
// of slots taken at once.
func (r *Runner) Totals() (executed, refused, highest int) {
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	return r.record.total, r.record.refused, r.record.highest
}

// Status returns what the runner says about itself.
func (r *Runner) Status() platform.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := platform.Status{Slots: Slots, InFlight: r.taken, Leaving: r.leaving}
	for id, n := range r.inFlight {
		s.Requests = append(s.Requests, slices.Repeat([]string{id}, n)...)
	}
	slices.Sort(s.Requests)
	return s
}
