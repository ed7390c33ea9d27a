// Package runner simulates a runner for tests and measurements. It has a fixed number
// of slots, counts every execution itself and simulates faults on command. It must
// simulate no fault that was not set. It is a plain net/http handler, because
// go-zero's rest server can neither close a connection without a response nor send
// half a body.
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

// Slots is the number of requests that a runner executes concurrently.
const Slots = 8

// ControlPath is the prefix of the control paths. Its last element is "fault",
// with a Fault as JSON body, "leaving", which calls SetLeaving(true), or "silent",
// which calls BlackholeConnections.
const ControlPath = "/standin/"

// Runner is one simulated runner on its own port.
type Runner struct {
	listener  *trackingListener
	server    *http.Server
	serveDone chan struct{}
	stats     executionStats

	mu            sync.Mutex
	fault         Fault
	faultUsesLeft int
	leaving       bool
	inFlight      map[string]int
	usedSlots     int
	holdGate      chan struct{}
	started       chan string
	closing       chan struct{}
}

// Start starts a runner on a port of the loopback interface that the kernel
// chooses. It returns an error if it cannot listen.
func Start() (*Runner, error) { return StartAt("127.0.0.1:0") }

// StartAt starts a runner that listens on address. It returns an error if it
// cannot listen.
func StartAt(address string) (*Runner, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for a simulated runner")
	}
	r := &Runner{
		listener:  &trackingListener{Listener: l, conns: map[*blackholeConn]bool{}},
		serveDone: make(chan struct{}), closing: make(chan struct{}),
		stats:    executionStats{byRequestID: map[string]int{}},
		inFlight: map[string]int{}, started: make(chan string, 1024),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(r.serveDone)
		if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return r, nil
}

// Address returns the address of the runner as HOST:PORT.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Close stops the runner and closes all its connections.
func (r *Runner) Close() {
	r.mu.Lock()
	close(r.closing)
	r.mu.Unlock()
	r.server.Close()
	r.listener.forEach(func(c *blackholeConn) { c.forceClose() })
	<-r.serveDone
}

// SetFault sets the fault that is applied to the next requests.
func (r *Runner) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.faultUsesLeft = f, f.Times
}

// SetLeaving sets whether the runner reports that it is about to shut down.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// BlackholeConnections makes all open connections discard their traffic from
// now on, without closing them. New connections work.
func (r *Runner) BlackholeConnections() {
	r.listener.forEach(func(c *blackholeConn) { c.blackholed.Store(true) })
}

// CloseConnections closes all open connections.
func (r *Runner) CloseConnections() { r.listener.forEach(func(c *blackholeConn) { c.forceClose() }) }

// Connections returns the number of open connections.
func (r *Runner) Connections() int {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	return len(r.listener.conns)
}

// Hold makes executions that start from now on wait until Release or Close.
func (r *Runner) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holdGate == nil {
		r.holdGate = make(chan struct{})
	}
}

// Release lets held executions continue.
func (r *Runner) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holdGate != nil {
		close(r.holdGate)
		r.holdGate = nil
	}
}

// StartedRequests returns a channel with the IDs of the requests whose
// execution has started. IDs that do not fit into its buffer are dropped.
func (r *Runner) StartedRequests() <-chan string { return r.started }

// Executions returns how many times the request with an ID was executed.
func (r *Runner) Executions(id string) int {
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	return r.stats.byRequestID[id]
}

// Totals returns the number of executions, the number of requests refused for lack
// of a slot, and the maximum number of slots in use at the same time.
func (r *Runner) Totals() (executed, refused, peakSlots int) {
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	return r.stats.total, r.stats.refused, r.stats.peakSlots
}

// Status returns the state that the runner reports about itself.
func (r *Runner) Status() platform.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := platform.Status{Slots: Slots, InFlight: r.usedSlots, Leaving: r.leaving}
	for id, n := range r.inFlight {
		s.Requests = append(s.Requests, slices.Repeat([]string{id}, n)...)
	}
	slices.Sort(s.Requests)
	return s
}
