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

// closingServer responds to the first request on every connection and keeps the
// connection open. It reads a second request and closes the connection without a
// response, like a server whose idle timeout expires at the same moment.
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

// Guards against net/http resending a non-idempotent request by itself when the
// server closes a reused connection. The idempotent requests at the beginning show
// that the server provokes such a resend.
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
		t.Fatalf("the server saw %d requests for 2 idempotent ones, want 3, one of them resent by net/http", n)
	}
	for _, window := range []time.Duration{0, time.Minute} {
		o := DefaultOptions()
		o.NonIdempotentReuseWindow = window
		client := NewHTTPClient(o)
		defer client.Close()
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut} {
			for _, body := range []string{"", "body"} {
				checkSentOnce(t, client, address, seen, method, body)
			}
		}
	}
}

// checkSentOnce sends six requests. If connections are reused, the server closes
// the connection of every second one without a response. Each request must reach
// the server exactly once, and a lost one must have the verdict MayHaveRun.
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
	reusesConnections := c.options.NonIdempotentReuseWindow > 0 && method != http.MethodGet
	if (lost > 0) != reusesConnections {
		t.Errorf("%s with body %q: %d requests lost, reuse of connections is %v", method, body, lost, reusesConnections)
	}
}

// Guards against the verdict DidNotRun after bytes of the request were sent, and
// against MayHaveRun if no connection was opened.
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
