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

type connKey struct{}

// Fleet serves many agents on one loopback listener, each below its own path.
// It uses net/http directly because it has to control single connections.
type Fleet struct {
	journal  *Journal
	listener net.Listener
	server   *http.Server

	conns  atomic.Uint64
	silent atomic.Uint64
	done   chan struct{}

	// Traffic counts the bytes of all exchanges.
	Traffic   wire.Traffic
	exchanges atomic.Uint64

	mu     sync.Mutex
	agents map[string]*Agent
}

// NewFleet starts a fleet without hosts on a port that the kernel chooses.
func NewFleet() (*Fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	began := time.Now()
	f := &Fleet{
		journal:  NewJournal(func() time.Duration { return time.Since(began) }),
		listener: listener,
		agents:   map[string]*Agent{},
		done:     make(chan struct{}),
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, f.conns.Add(1))
		},
	}
	go func() {
		defer close(f.done)
		_ = f.server.Serve(f.Traffic.Listen(listener))
	}()
	return f, nil
}

// Add adds an empty host and returns its agent.
func (f *Fleet) Add(id string, capacity resource.Vector) *Agent {
	a := NewAgent(id, capacity, f.journal)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[id] = a
	return a
}

// Agent returns the agent of a host, or nil.
func (f *Fleet) Agent(id string) *Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[id]
}

// Address returns the address of a host's agent.
func (f *Fleet) Address(id string) string {
	return f.listener.Addr().String() + hostPrefix + id
}

// Journal returns the record of what ran.
func (f *Fleet) Journal() *Journal { return f.journal }

// SilenceConnections makes all open connections silent for good. New ones work.
func (f *Fleet) SilenceConnections() { f.silent.Store(f.conns.Load()) }

// Close stops the server and cuts all connections.
func (f *Fleet) Close() {
	_ = f.server.Close()
	<-f.done
}

// ServeHTTP implements http.Handler.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, _ := r.Context().Value(connKey{}).(uint64); conn <= f.silent.Load() {
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

// Exchanges returns the number of exchanges that were received.
func (f *Fleet) Exchanges() uint64 { return f.exchanges.Load() }

// serveExchange decodes one exchange, runs it and writes the answer.
func serveExchange(w http.ResponseWriter, r *http.Request, a *Agent) {
	var req worker.ExchangeRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lose, delay := a.takeFaults()
	if delay > 0 {
		time.Sleep(delay)
	}
	resp, err := a.Exchange(r.Context(), req)
	if err != nil || lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp)
}

// takeFaults returns the wire faults for the next exchange.
func (a *Agent) takeFaults() (lose bool, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.faults.LoseAnswers > 0 {
		a.faults.LoseAnswers--
		lose = true
	}
	return lose, a.faults.Delay
}
