package worker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/standin/wire"
)

const (
	hostPrefix      = "/hosts/"
	maxRequestBytes = 4 << 20
)

// connNumberKey is the context key of the number of a connection.
type connNumberKey struct{}

// Fleet serves many agents on one loopback listener, each with its own path prefix.
// It uses net/http directly because it must control individual connections.
type Fleet struct {
	journal  *Journal
	listener net.Listener
	server   *http.Server

	// lastConn is the number of the newest connection; the first has number 1.
	lastConn atomic.Uint64
	// blackholedUpTo is the highest number of a connection that never gets a
	// response again.
	blackholedUpTo atomic.Uint64
	serveDone      chan struct{}

	// Traffic counts the bytes on all connections.
	Traffic   wire.Traffic
	exchanges atomic.Uint64

	mu     sync.Mutex
	agents map[string]*Agent
}

// NewFleet starts a fleet without hosts on a port of the loopback interface that
// the kernel chooses. It returns an error if it cannot listen.
func NewFleet() (*Fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	startedAt := time.Now()
	f := &Fleet{
		journal:   NewJournal(func() time.Duration { return time.Since(startedAt) }),
		listener:  listener,
		agents:    map[string]*Agent{},
		serveDone: make(chan struct{}),
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connNumberKey{}, f.lastConn.Add(1))
		},
	}
	go func() {
		defer close(f.serveDone)
		_ = f.server.Serve(f.Traffic.Listen(listener))
	}()
	return f, nil
}

// Add adds a host without tasks and returns its agent.
func (f *Fleet) Add(id string, capacity resource.Vector) *Agent {
	a := NewAgent(id, capacity, f.journal)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[id] = a
	return a
}

// Agent returns the agent of a host, or nil if the fleet has no such host.
func (f *Fleet) Agent(id string) *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[id]
}

// Address returns the address of a host's agent.
func (f *Fleet) Address(id string) string {
	return f.listener.Addr().String() + hostPrefix + id
}

// Journal returns the journal of the executions on all hosts.
func (f *Fleet) Journal() *Journal { return f.journal }

// BlackholeConnections makes the fleet never respond again on the connections
// that are open now. New connections work.
func (f *Fleet) BlackholeConnections() { f.blackholedUpTo.Store(f.lastConn.Load()) }

// Close stops the server and closes all connections.
func (f *Fleet) Close() {
	_ = f.server.Close()
	<-f.serveDone
}

// ServeHTTP implements http.Handler. It passes an exchange to the agent in its path.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, _ := r.Context().Value(connNumberKey{}).(uint64); conn <= f.blackholedUpTo.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id, ok := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, hostPrefix), worker.ExchangePath)
	agent := f.Agent(id)
	if !ok || agent == nil {
		http.NotFound(w, r)
		return
	}
	f.exchanges.Add(1)
	serveExchange(w, r, agent)
}

// Exchanges returns the number of exchanges received.
func (f *Fleet) Exchanges() uint64 { return f.exchanges.Load() }

// serveExchange decodes an exchange, lets the agent handle it and writes the
// response. It applies the faults LoseResponses and Delay.
func serveExchange(w http.ResponseWriter, r *http.Request, a *Agent) {
	var req worker.ExchangeRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	loseResponse, delay := a.takeNextFaults()
	if delay > 0 {
		time.Sleep(delay)
	}
	resp, err := a.Exchange(r.Context(), req)
	if err != nil || loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp)
}

// takeNextFaults returns the faults of the next exchange and decrements
// LoseResponses.
func (a *Agent) takeNextFaults() (loseResponse bool, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.LoseResponses > 0 {
		a.faults.LoseResponses--
		loseResponse = true
	}
	return loseResponse, a.faults.Delay
}
