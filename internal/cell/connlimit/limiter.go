package connlimit

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = 10 * time.Second

// Limiter bounds the open connections of one address.
type Limiter struct {
	log       *slog.Logger
	address   string
	sometimes rate.Sometimes

	mu          sync.Mutex
	connections *intake.Connections
	ids         map[net.Conn]intake.ID
	open        map[intake.ID]net.Conn
}

// New returns a limiter of limit connections. address is the name of the address in log
// lines.
func New(limit int, address string, log *slog.Logger) *Limiter {
	return &Limiter{
		log: log, address: address, sometimes: rate.Sometimes{Interval: logInterval}, connections: intake.NewConnections(limit),
		ids: map[net.Conn]intake.ID{}, open: map[intake.ID]net.Conn{},
	}
}

// Add counts a new connection and closes the one that gives way to it, if any. It
// returns false if it has closed the new connection, since all others are in use.
func (l *Limiter) Add(conn net.Conn) bool {
	l.mu.Lock()
	id, evicted, ok := l.connections.Open()
	closed := conn
	if ok {
		closed = l.open[evicted]
		l.ids[conn], l.open[id] = id, conn
		delete(l.ids, closed)
		delete(l.open, evicted)
	}
	l.mu.Unlock()
	if closed != nil {
		_ = closed.Close() // its client may have closed it
		l.sometimes.Do(func() {
			s := l.Stats()
			l.log.Warn("A connection was closed, since there are too many.", "address", l.address, "open", s.Open, "limit", s.Limit, "evicted", s.Evicted, "refused", s.Refused)
		})
	}
	return ok
}

// Use says that a message of the connection is being processed. It returns false if the
// connection has been closed.
func (l *Limiter) Use(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, ok := l.ids[conn]
	return ok && l.connections.Use(id)
}

// Wait says that the connection waits for its client from now on.
func (l *Limiter) Wait(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id, ok := l.ids[conn]; ok {
		l.connections.Wait(id)
	}
}

// Remove says that the connection is closed.
func (l *Limiter) Remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id, ok := l.ids[conn]; ok {
		l.connections.Close(id)
		delete(l.ids, conn)
		delete(l.open, id)
	}
}

// Stats returns the state of the connections.
func (l *Limiter) Stats() intake.ConnectionsStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.Stats()
}

// Attach makes an HTTP server count its connections. From the first byte of a request
// until Use, and from Wait or the end of the response on, a connection waits.
func (l *Limiter) Attach(s *http.Server) {
	s.ConnState = l.onState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, requestKey{}, Request{limiter: l, conn: conn})
	}
}

func (l *Limiter) onState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.Add(conn)
	case http.StateActive, http.StateIdle:
		l.Wait(conn)
	case http.StateHijacked, http.StateClosed:
		l.Remove(conn)
	}
}
