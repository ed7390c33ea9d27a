package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// stepTimeout bounds each step of a test; it is far above what any step needs.
const stepTimeout = 20 * time.Second

// intakeServer serves callers with bounds for bodies and connections.
type intakeServer struct {
	*httptest.Server
	node    *fakeNode
	handler *Handler
	limiter *connlimit.Limiter
}

func newIntakeServer(t *testing.T, bodyBytes int64, timeout time.Duration, connections int) *intakeServer {
	t.Helper()
	d := &cell.Desired{
		Queues: []cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}}, Teams: map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}},
	}
	d.IndexKeys()
	log := slog.New(slog.DiscardHandler)
	n := &fakeNode{desired: d, fresh: true, entries: map[string]registry.Entry{}}
	s := &intakeServer{node: n, limiter: connlimit.New(connections, "callers", log), handler: &Handler{
		State: n, Records: n, Forwarder: n, Logger: log, WallClock: func() time.Duration { return 0 }, Bodies: NewBodies(bodyBytes, timeout, log),
	}}
	s.Server = httptest.NewUnstartedServer(s.handler)
	s.limiter.Attach(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// holdAppends makes appends wait until proceed is closed. Each of them sends to processing first.
func (s *intakeServer) holdAppends() (processing <-chan struct{}, proceed chan<- struct{}) {
	begun, released := make(chan struct{}, 1), make(chan struct{})
	s.node.append = func(context.Context) error {
		begun <- struct{}{}
		<-released
		return nil
	}
	return begun, released
}

// client is a connection of a caller.
type client struct {
	t *testing.T
	net.Conn
	responses *bufio.Reader
}

func (s *intakeServer) connect(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	if err := conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		t.Fatal(err)
	}
	return &client{t: t, Conn: conn, responses: bufio.NewReader(conn)}
}

// begin sends the header of a submission, and as much of its body as given.
func (c *client) begin(id string, length int, sent, headers string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST /q/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n%sContent-Length: %d\r\n\r\n%s", id, headers, length, sent)
	if err != nil {
		c.t.Fatal(err)
	}
}

// status returns the status of the next response, and the value of Retry-After.
func (c *client) status() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// checkEnded fails the test if the server has not ended the connection.
func (c *client) checkEnded() {
	c.t.Helper()
	if n, err := io.Copy(io.Discard, c.responses); err != nil || n > 0 {
		c.t.Errorf("after the response: %d bytes, %v; want the end of the connection", n, err)
	}
}

// checkRefused fails the test if the next response is no refusal after which the
// connection ends.
func (c *client) checkRefused() {
	c.t.Helper()
	if code, retryAfter := c.status(); code != http.StatusServiceUnavailable || retryAfter == "" {
		c.t.Errorf("status %d, Retry-After %q; want 503 with Retry-After", code, retryAfter)
	}
	c.checkEnded()
}

func (s *intakeServer) waitReceiving(t *testing.T, bytes int64) {
	t.Helper()
	for end := time.Now().Add(stepTimeout); s.handler.Bodies.Stats().Receiving != bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state of the bodies: %+v, want %d bytes received", s.handler.Bodies.Stats(), bytes)
		}
	}
}

// Guards against incomplete bodies that take all memory, against an ordinary submission
// that is refused because of them, and against one that is stored after its refusal.
func TestOldestIncompleteBodyGivesWay(t *testing.T) {
	s := newIntakeServer(t, 3*bodyBlockBytes, time.Minute, 10)
	part := strings.Repeat(" ", bodyBlockBytes+1)
	old, young := s.connect(t), s.connect(t)
	old.begin("5c0e7a21d94b36f0", len(part)+1, part, "")
	s.waitReceiving(t, 2*bodyBlockBytes)
	young.begin("5c0e7a21d94b36f1", len(part)+1, part, "")
	old.checkRefused()
	s.waitReceiving(t, 2*bodyBlockBytes)
	ordinary := s.connect(t)
	ordinary.begin(id, len(body), body, "")
	if code, _ := ordinary.status(); code != http.StatusOK {
		t.Errorf("ordinary submission: status %d, want 200", code)
	}
	if len(s.node.stored) != 1 || s.node.stored[0] != "s/"+id {
		t.Errorf("stored %v, want only the ordinary submission", s.node.stored)
	}
}

// Guards against a complete body that is processed although there is no memory for it,
// and against one that is stored after its refusal.
func TestCompleteBodyIsRefusedWithoutMemory(t *testing.T) {
	s := newIntakeServer(t, 1<<20, time.Minute, 10)
	processing, proceed := s.holdAppends()
	large := body + strings.Repeat(" ", 240_000)
	first, second := s.connect(t), s.connect(t)
	first.begin(id, len(large), large, "")
	<-processing
	second.begin(other, len(body), body, "")
	second.checkRefused()
	close(proceed)
	if code, _ := first.status(); code != http.StatusOK {
		t.Errorf("first submission: status %d, want 200", code)
	}
	if len(s.node.stored) != 1 {
		t.Errorf("stored %v, want only the first submission", s.node.stored)
	}
	if got := s.handler.Bodies.Stats(); got.Receiving+got.Processing != 0 || got.Messages != 0 {
		t.Errorf("state of the bodies after all calls: %+v", got)
	}
}

// Guards against small bodies with many steps, which take many times their size once they are
// decoded, and of which more are processed than there is memory for.
func TestDecodedStepsCountAsMemory(t *testing.T) {
	s := newIntakeServer(t, 1<<20, time.Minute, 10)
	processing, proceed := s.holdAppends()
	steps := `{"spec":"x","steps":[{"count":1}` + strings.Repeat(`,{"count":1}`, cell.MaxSteps-1) + `]}`
	first, second := s.connect(t), s.connect(t)
	first.begin(id, len(steps), steps, "")
	<-processing
	second.begin(other, len(body), body, "")
	second.checkRefused()
	close(proceed)
	if code, _ := first.status(); code != http.StatusOK {
		t.Errorf("first submission: status %d, want 200", code)
	}
}

// Guards against a client that never ends its body and holds its connection for ever.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	s := newIntakeServer(t, 1<<20, 50*time.Millisecond, 10)
	c := s.connect(t)
	c.begin(id, len(body), body[:len(body)-1], "")
	c.checkRefused()
	if len(s.node.stored) != 0 || s.handler.Bodies.Stats().TimedOut != 1 {
		t.Errorf("stored %v, state of the bodies %+v", s.node.stored, s.handler.Bodies.Stats())
	}
}

// Guards against a body that is given up although its caller has set a longer deadline.
func TestBodyMayTakeAsLongAsTheDeadlineOfItsCall(t *testing.T) {
	s := newIntakeServer(t, 1<<20, 50*time.Millisecond, 10)
	c := s.connect(t)
	c.begin(id, len(body), body[:1], platform.HeaderDeadline+": 60000\r\n")
	time.Sleep(200 * time.Millisecond)
	if _, err := c.Write([]byte(body[1:])); err != nil {
		t.Fatal(err)
	}
	if code, _ := c.status(); code != http.StatusOK {
		t.Errorf("status %d, want 200", code)
	}
}

// Guards against a deadline for a body that ends the processing of its call, or a later
// call over the same connection.
func TestConnectionIsKeptAfterTheTimeForABody(t *testing.T) {
	const timeout = 100 * time.Millisecond
	s := newIntakeServer(t, 1<<20, timeout, 10)
	s.node.append = func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return mayHaveRunError()
		case <-time.After(2 * timeout):
			return nil
		}
	}
	c := s.connect(t)
	for _, id := range []string{id, other} {
		c.begin(id, len(body), body, "")
		if code, _ := c.status(); code != http.StatusOK {
			t.Errorf("status %d, want 200", code)
		}
		time.Sleep(2 * timeout)
	}
	if _, err := fmt.Fprintf(c, "GET /q/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if code, _ := c.status(); code != http.StatusOK {
		t.Errorf("status %d, want 200", code)
	}
}

// Guards against a body that is cut off and taken for a complete one.
func TestBodyThatIsCutOffIsNotStored(t *testing.T) {
	s := newIntakeServer(t, 1<<20, time.Minute, 10)
	c := s.connect(t)
	c.begin(id, len(body)+1, body, "")
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if code, _ := c.status(); code != http.StatusBadRequest || len(s.node.stored) != 0 {
		t.Errorf("status %d, stored %v; want 400 and nothing", code, s.node.stored)
	}
}

// Guards against a body of several blocks that is put together wrongly.
func TestBodyOfManyBlocksArrivesWhole(t *testing.T) {
	bodies := NewBodies(1<<20, time.Minute, slog.New(slog.DiscardHandler))
	for _, size := range []int{0, 1, bodyBlockBytes - 1, bodyBlockBytes, bodyBlockBytes + 1, 5*bodyBlockBytes + 3} {
		want := strings.Repeat("0123456789a", size/11+1)[:size]
		m := bodies.begin(connlimit.Request{}, nil)
		got, err := m.read(pieceReader{strings.NewReader(want)})
		if err != nil || string(got) != want {
			t.Errorf("body of %d bytes: got %d bytes, %v", size, len(got), err)
		}
		m.release()
	}
	if s := bodies.Stats(); s.Receiving+s.Processing != 0 || s.Messages != 0 {
		t.Errorf("state of the bodies after all calls: %+v", s)
	}
}

// pieceReader reads up to 1000 bytes at a time.
type pieceReader struct{ r io.Reader }

func (r pieceReader) Read(data []byte) (int, error) { return r.r.Read(data[:min(len(data), 1000)]) }
