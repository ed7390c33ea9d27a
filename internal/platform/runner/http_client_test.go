package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closingServer answers the first request on every connection and keeps the
// connection. It reads a second one and closes without an answer, as a server
// does whose idle time ends at the same moment.
func closingServer(t *testing.T) (address string, seen *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seen = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := range 2 {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					seen.Add(1)
					if n == 0 {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
	return l.Addr().String(), seen
}

func send(c *HTTPClient, address, method, body string, idempotent bool) error {
	req := &Request{ID: "id", Method: method, Path: "/", Idempotent: idempotent, ContentSize: int64(len(body))}
	req.Header = http.Header{"Idempotency-Key": {"key"}}
	if body != "" {
		req.Body = strings.NewReader(body)
	}
	resp, err := c.Do(context.Background(), address, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against net/http repeating a non-idempotent request by itself when
// the server closes a reused connection. The idempotent control shows that
// the server provokes such a repeat.
func TestNonIdempotentIsNeverResent(t *testing.T) {
	address, seen := closingServer(t)
	c := NewHTTPClient(DefaultOptions())
	defer c.Close()
	for range 2 {
		if err := send(c, address, http.MethodGet, "", true); err != nil {
			t.Fatal(err)
		}
	}
	if n := seen.Load(); n != 3 {
		t.Fatalf("the server saw %d requests for 2 idempotent ones, want 3 with net/http's repeat", n)
	}
	for _, proven := range []time.Duration{0, time.Minute} {
		o := DefaultOptions()
		o.ProvenFor = proven
		never := NewHTTPClient(o)
		defer never.Close()
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut} {
			for _, body := range []string{"", "body"} {
				checkSentOnce(t, never, address, seen, method, body)
			}
		}
	}
}

// checkSentOnce sends six requests, of which the server closes half if their
// connections are reused. Each must reach the server once, and one that was
// lost may have run.
func checkSentOnce(t *testing.T, c *HTTPClient, address string, seen *atomic.Int64, method, body string) {
	seen.Store(0)
	lost := 0
	for range 6 {
		if err := send(c, address, method, body, false); err != nil {
			lost++
			if v := verdict.Of(err); v != verdict.MayHaveRun {
				t.Errorf("%s with body %q: a lost request has verdict %s", method, body, v)
			}
		}
	}
	if n := seen.Load(); n != 6 {
		t.Errorf("%s with body %q: the server saw %d requests, want 6", method, body, n)
	}
	reuses := c.options.ProvenFor > 0 && method != http.MethodGet
	if (lost > 0) != reuses {
		t.Errorf("%s with body %q: %d requests lost, reuse of connections is %v", method, body, lost, reuses)
	}
}

// Guards against a "did not run" after bytes have left, and "may have run"
// where no connection was made.
func TestVerdictOfErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewHTTPClient(DefaultOptions())
	defer c.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err == nil {
			conn.Close()
		}
	}()
	if v := verdict.Of(send(c, l.Addr().String(), http.MethodPost, "x", false)); v != verdict.MayHaveRun {
		t.Errorf("connection closed after accept: %s", v)
	}
	<-done
	l.Close()
	if v := verdict.Of(send(c, l.Addr().String(), http.MethodPost, "x", false)); v != verdict.DidNotRun {
		t.Errorf("connection refused: %s", v)
	}
}
