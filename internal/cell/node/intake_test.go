package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

// intakeStepTimeout bounds each step of a test; it is far above what any step needs.
const intakeStepTimeout = 20 * time.Second

// newBoundedNode returns a node that does not run, with 1 MiB for bodies.
func newBoundedNode(t *testing.T) *Node {
	t.Helper()
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store, s.Platform.Advice = "127.0.0.1:1", "127.0.0.1:1" // nothing listens there
	s.Limits.BodyMemoryMiB = 1
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.pool.Close)
	return n
}

// serve serves until the end of the test, and returns the address.
func serve(t *testing.T, s *http.Server) string {
	t.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()      // ends with the test
	t.Cleanup(func() { _ = s.Close() }) // as does the server
	return l.Addr().String()
}

// sendTo opens a connection and sends a request.
func sendTo(t *testing.T, address, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	if err := conn.SetDeadline(time.Now().Add(intakeStepTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return conn
}

// checkLastResponse fails the test unless a response with the status arrives, after which
// the connection ends.
func checkLastResponse(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status {
		t.Errorf("status %d, error %v; want %d", resp.StatusCode, err, status)
	}
	if n, err := io.Copy(io.Discard, in); n > 0 || err != nil {
		t.Errorf("after the response: %d bytes, error %v; want the end of the connection", n, err)
	}
}

// Guards against an incomplete body whose connection stays open after it has given way,
// since the router of go-zero hides the connection from the handler.
func TestBodyGivesWayBehindTheRouter(t *testing.T) {
	n := newBoundedNode(t)
	handler, err := n.newCallerRouter()
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, n.intake.callerServer(handler, n.log))
	const length = 256 << 10
	request := fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", 1, length, strings.Repeat("x", length-1))
	oldest := sendTo(t, address, request)
	for end := time.Now().Add(intakeStepTimeout); n.intake.bodies.Stats().Receiving < length && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		sendTo(t, address, request)
	}
	checkLastResponse(t, oldest, http.StatusServiceUnavailable)
	if s := n.dump().Intake.Bodies; s.Shed == 0 || s.Receiving > s.Limit {
		t.Errorf("bodies: %+v", s)
	}
}

// Guards against a body that is sent to the address for operators and holds its
// connection.
func TestStatusAddressRefusesBodies(t *testing.T) {
	n := newBoundedNode(t)
	address := serve(t, n.intake.statusServer(n.serveStatus, n.log))
	for name, request := range map[string]string{
		"length":  "POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx",
		"chunked": "GET /dump HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			checkLastResponse(t, sendTo(t, address, request), http.StatusRequestEntityTooLarge)
		})
	}
}

// Guards against dumps whose number is not bounded, and against a readiness probe that
// fails because of them.
func TestStatusReportsAreBounded(t *testing.T) {
	n := newBoundedNode(t)
	get := func(path string) int {
		w := httptest.NewRecorder()
		n.serveStatus(w, httptest.NewRequest("GET", path, nil))
		return w.Code
	}
	ready := get("/ready")
	for range maxStatusReports {
		end, ok := n.intake.beginReport()
		if !ok {
			t.Fatal("a report is refused below the bound")
		}
		defer end()
	}
	for path, want := range map[string]int{"/dump": 503, "/metrics": 503, "/explain/x": 503, "/ready": ready} {
		if got := get(path); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
}

// Guards against messages that take memory which stored work needs, and against budgets
// that stay low when there is memory again.
func TestBudgetsAdaptToTheMemoryInUse(t *testing.T) {
	n := newBoundedNode(t)
	if used := memoryInUse(); used < 1<<20 || used > 4<<30 {
		t.Errorf("memory in use: %d bytes", used)
	}
	full := n.intake.dump()
	n.intake.adapt(n.intake.memory)
	low := n.intake.dump()
	if low.Bodies.Limit != full.Bodies.Limit/4 || low.PeerMessages.Limit != full.PeerMessages.Limit/4 {
		t.Errorf("without memory: %d and %d bytes", low.Bodies.Limit, low.PeerMessages.Limit)
	}
	n.intake.adapt(0)
	if again := n.intake.dump(); again != full {
		t.Errorf("with memory again: %+v, want %+v", again, full)
	}
}
