package connlimit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// stepTimeout bounds each step of a test; it is far above what any step needs.
const stepTimeout = 20 * time.Second

// server answers each request. One to /hold is in use until proceed is closed.
type server struct {
	*httptest.Server
	limiter *Limiter
	holding chan struct{}
	proceed chan struct{}
}

func newServer(t *testing.T, limit int) *server {
	t.Helper()
	s := &server{limiter: New(limit, "test", slog.New(slog.DiscardHandler)), holding: make(chan struct{}, limit), proceed: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/hold" {
			return
		}
		if OfRequest(r.Context()).Use() {
			s.holding <- struct{}{}
			<-s.proceed
		}
	}))
	s.limiter.Attach(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// connect opens a connection, and sends the beginning of a request.
func (s *server) connect(t *testing.T, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

const (
	incomplete = "GET / HTTP/1.1\r\nHost: h\r\n"
	complete   = incomplete + "\r\n"
	held       = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

func checkClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("read: %v, want a closed connection", err)
	}
}

func checkAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
}

func (s *server) waitOpen(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); s.limiter.Stats().Open != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("connections: %+v, want %d open", s.limiter.Stats(), want)
		}
	}
}

// Guards against connections that are held open without a complete request and keep new
// ones from being served, and against a request in progress that gives way to them.
func TestNewConnectionTakesThePlaceOfTheOneThatWaits(t *testing.T) {
	s := newServer(t, 2)
	used := s.connect(t, held)
	<-s.holding
	slow := s.connect(t, incomplete)
	s.waitOpen(t, 2)
	checkAnswered(t, s.connect(t, complete))
	checkClosed(t, slow)
	close(s.proceed)
	checkAnswered(t, used)
	if got := s.limiter.Stats(); got.Evicted != 1 || got.Refused != 0 || got.Open != 2 {
		t.Errorf("connections: %+v", got)
	}
}

// Guards against more connections than the bound when all of them are in use.
func TestNewConnectionIsClosedWhileAllAreInUse(t *testing.T) {
	s := newServer(t, 1)
	used := s.connect(t, held)
	<-s.holding
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		t.Fatal(err)
	}
	checkClosed(t, conn)
	close(s.proceed)
	checkAnswered(t, used)
	if got := s.limiter.Stats(); got.Refused != 1 || got.Open != 1 {
		t.Errorf("connections: %+v", got)
	}
}

// Guards against connections that are counted after their end, so that the bound is
// reached although few are open.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	s := newServer(t, 5)
	for range 3 {
		conn := s.connect(t, complete)
		checkAnswered(t, conn)
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	s.waitOpen(t, 0)
	if len(s.limiter.ids)+len(s.limiter.open) != 0 {
		t.Errorf("%d and %d connections are kept", len(s.limiter.ids), len(s.limiter.open))
	}
}

// Guards against a shutdown that does not end, or that ends a request in progress, since
// connections are counted.
func TestShutdownWaitsForRequestsInUse(t *testing.T) {
	s := newServer(t, 3)
	used := s.connect(t, held)
	<-s.holding
	idle := s.connect(t, complete)
	checkAnswered(t, idle)
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		ended <- s.Config.Shutdown(ctx)
	}()
	checkClosed(t, idle)
	select {
	case err := <-ended:
		t.Fatalf("the shutdown ended before the request: %v", err)
	default:
	}
	close(s.proceed)
	checkAnswered(t, used)
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	s.waitOpen(t, 0)
}
