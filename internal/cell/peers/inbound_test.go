package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// inboundStepTimeout bounds each step of a test; it is far above what any step needs.
const inboundStepTimeout = 20 * time.Second

// inboundServer is a node that bounds what others hold open.
type inboundServer struct {
	*Inbound
	address string
	peer    *fakePeer
}

func newInboundServer(t *testing.T, bytes int64, connections int, timeout time.Duration) *inboundServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	s := &inboundServer{Inbound: NewInbound(bytes, connlimit.New(connections, "peers", log), log), address: l.Addr().String(), peer: newFakePeer()}
	s.timeout = timeout
	server := s.NewServer(s.peer)
	go func() { _ = server.Serve(s.Listen(l)) }()
	t.Cleanup(server.Stop)
	return s
}

// pool returns the connections of another node, which calls this one.
func (s *inboundServer) pool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", newFakePeer())
	p.SetPeers(map[string]Peer{"n": {Address: s.address, Follows: true}})
	t.Cleanup(p.Close)
	return p
}

// stall begins a call with a message of size bytes over a connection of its own, and
// leaves out the last byte. The channel is closed when the call ends.
func (s *inboundServer) stall(t *testing.T, size int) (ended chan struct{}) {
	t.Helper()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	ctx, cancel := context.WithCancel(context.Background())
	message, rest := io.Pipe()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/"+serviceName+"/"+forwardMethod, message)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/grpc+json")
	r.Header.Set("Te", "trailers")
	begun := func() uint64 { got := s.Stats(); return got.Shed + uint64(got.Messages) }
	before, written := begun(), make(chan struct{})
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := transport.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // the end of the call is all that matters
			_ = resp.Body.Close()
		}
		_ = message.Close() // it never fails
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		transport.CloseIdleConnections()
	})
	go func() {
		defer close(written)
		prefix := []byte{0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}
		_, _ = rest.Write(append(prefix, bytes.Repeat([]byte(" "), size-1)...)) // fails if the call has ended
	}()
	select {
	case <-written:
	case <-ended:
	}
	for end := time.Now().Add(inboundStepTimeout); begun() == before; time.Sleep(time.Millisecond) {
		select {
		case <-ended: // it was refused, and is no longer counted
			return ended
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("the call has not arrived: %+v", s.Stats())
		}
	}
	return ended
}

func checkEnds(t *testing.T, what string, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(inboundStepTimeout):
		t.Errorf("%s has not ended", what)
	}
}

// Guards against incomplete messages that take all memory, and against a call of another
// node that fails because of them.
func TestOldestIncompleteMessageGivesWay(t *testing.T) {
	const size = 100_000
	s := newInboundServer(t, 3*size, 10, time.Minute)
	first, second := s.stall(t, size), s.stall(t, size)
	third := s.stall(t, size)
	checkEnds(t, "the oldest call", first)
	pool := s.pool(t)
	resp, err := pool.Forward(t.Context(), &CallRequest{Method: "POST", Body: make([]byte, 1000)})
	if err != nil || resp.Status != http.StatusOK {
		t.Errorf("forwarded call: %v, %v", resp, err)
	}
	for name, ended := range map[string]chan struct{}{"second": second, "third": third} {
		select {
		case <-ended:
			t.Errorf("the %s call has ended", name)
		default:
		}
	}
	if got := s.Stats(); got.Shed != 1 || got.Receiving > got.Limit {
		t.Errorf("messages: %+v", got)
	}
}

// Guards against a message that never ends and holds its connection for ever.
func TestMessageThatDoesNotArriveInTimeEndsItsConnection(t *testing.T) {
	s := newInboundServer(t, 1<<20, 10, 50*time.Millisecond)
	checkEnds(t, "the call", s.stall(t, 1000))
	for end := time.Now().Add(inboundStepTimeout); s.Connections.Stats().Open > 0 || s.Stats().Messages > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("connections %+v, messages %+v", s.Connections.Stats(), s.Stats())
		}
	}
}

// Guards against a connection that ends although its messages have arrived, since it is
// older than the time for a message, and against calls that are counted after their end.
func TestConnectionsOfNodesAreKept(t *testing.T) {
	const timeout = 50 * time.Millisecond
	s := newInboundServer(t, 1<<20, 10, timeout)
	pool := s.pool(t)
	for range 3 {
		if resp, err := pool.Forward(t.Context(), &CallRequest{Method: "POST", Body: make([]byte, 100_000)}); err != nil || resp.Status != http.StatusOK {
			t.Fatalf("forwarded call: %v, %v", resp, err)
		}
		time.Sleep(2 * timeout)
	}
	if c, m := s.Connections.Stats(), s.Stats(); c.Open != 1 || c.Evicted != 0 || m.Messages != 0 || m.Processing != 0 {
		t.Errorf("connections %+v, messages %+v", c, m)
	}
}

// Guards against more connections than the bound, and against nodes that are kept out by
// connections which hold incomplete messages.
func TestNewNodeTakesThePlaceOfAConnectionThatWaits(t *testing.T) {
	s := newInboundServer(t, 1<<20, 2, time.Minute)
	first := s.stall(t, 1000)
	s.stall(t, 1000)
	if resp, err := s.pool(t).Forward(t.Context(), &CallRequest{Method: "POST"}); err != nil || resp.Status != http.StatusOK {
		t.Errorf("forwarded call: %v, %v", resp, err)
	}
	checkEnds(t, "the oldest call", first)
	if got := s.Connections.Stats(); got.Open > 2 || got.Evicted != 1 {
		t.Errorf("connections: %+v", got)
	}
}

// Guards against a message that is decoded and processed without memory, and against an
// answer that leaves open whether it was.
func TestMessageIsRefusedWithoutMemory(t *testing.T) {
	const limit = 1 << 20
	s := newInboundServer(t, limit, 10, time.Minute)
	id, ok := s.process(limit * 7 / 8 / messageFactor)
	if !ok {
		t.Fatal("the first message is refused")
	}
	pool := s.pool(t)
	if _, err := pool.Forward(t.Context(), &CallRequest{Method: "POST", Body: make([]byte, 1000)}); verdict.Of(err) != verdict.DidNotRun {
		t.Errorf("forwarded call: %v, want the verdict that it did not run", err)
	}
	if err := pool.Append(t.Context(), "n", platform.Record{Key: "k", Value: make([]byte, 1000)}); verdict.Of(err) != verdict.DidNotRun {
		t.Errorf("append: %v, want the verdict that it did not run", err)
	}
	s.end(id)
	if resp, err := pool.Forward(t.Context(), &CallRequest{Method: "POST", Body: make([]byte, 1000)}); err != nil || resp.Status != http.StatusOK {
		t.Errorf("forwarded call after the end of the other: %v, %v", resp, err)
	}
}

// Guards against a message of a size that no node sends, which takes its size in memory,
// and against a forwarded call with the largest body that is refused.
func TestLargestMessageIsTheLargestForwardedCall(t *testing.T) {
	s := newInboundServer(t, 64<<20, 10, time.Minute)
	body := make([]byte, 1<<20)
	data, err := json.Marshal(&CallRequest{Method: "POST", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxMessageBytes {
		t.Errorf("a call with the largest body takes %d bytes, the limit is %d", len(data), maxMessageBytes)
	}
	if resp, err := s.pool(t).Forward(t.Context(), &CallRequest{Method: "POST", Body: body}); err != nil || resp.Status != http.StatusOK {
		t.Errorf("forwarded call with the largest body: %v, %v", resp, err)
	}
	checkEnds(t, "a larger call", s.stall(t, maxMessageBytes+1))
}
