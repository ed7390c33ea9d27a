package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler implements the methods that the tests call.
type fakeHandler struct {
	Handler
	entered chan struct{}
	runs    atomic.Int32
}

func (e *fakeHandler) Exchange(_ context.Context, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return &peerv1.ExchangeResponse{Node: "b", ReadOffset: r.GetReadOffset()}, nil
}

func (e *fakeHandler) QueryJob(ctx context.Context, _ *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error) {
	e.runs.Add(1)
	close(e.entered)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (e *fakeHandler) ReleaseHold(context.Context, *peerv1.ReleaseHoldRequest) (*peerv1.ReleaseHoldResponse, error) {
	return nil, verdict.New(verdict.DidNotRun, "no-hold", "no such hold")
}

func start(t *testing.T) (*fakeHandler, *Server, *Pool, *Counts) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counts := NewCounts(tally.NoopScope)
	h := &fakeHandler{entered: make(chan struct{})}
	s := NewServer(h, NewCounts(tally.NoopScope))
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	p := NewPool(counts)
	t.Cleanup(func() {
		p.Close()
		s.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	if err := p.SetPeers(map[string]string{"b": l.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	return h, s, p, counts
}

// Guards against lost messages and against messages and bytes that are not
// counted.
func TestCallsAreCounted(t *testing.T) {
	_, _, p, counts := start(t)
	for i := range uint64(3) {
		r, err := p.Exchange(t.Context(), "b", &peerv1.ExchangeRequest{ReadOffset: i + 1})
		if err != nil || r.GetReadOffset() != i+1 {
			t.Fatalf("%v %v", r, err)
		}
		if err := p.Reset("b"); err != nil {
			t.Fatal(err)
		}
	}
	c := counts.Snapshot()["Exchange"]
	if c.MessagesIn != 3 || c.MessagesOut != 3 || c.BytesIn == 0 || c.BytesOut == 0 {
		t.Fatalf("%+v", c)
	}
}

// Guards against the verdict DidNotRun for a call that ran, and against a call
// that is sent twice, when the server stops during the call.
func TestVerdictOfAbortedCallIsMayHaveRun(t *testing.T) {
	h, s, p, _ := start(t)
	result := make(chan error, 1)
	go func() {
		_, err := p.QueryJob(context.Background(), "b", &peerv1.QueryJobRequest{})
		result <- err
	}()
	<-h.entered
	s.Stop()
	if err := <-result; err == nil || verdict.Of(err) != verdict.MayHaveRun || h.runs.Load() != 1 {
		t.Fatalf("%v after %d runs", err, h.runs.Load())
	}
}

// Guards against a verdict that is lost between the handler and the caller.
func TestVerdictOfHandlerIsKept(t *testing.T) {
	_, _, p, _ := start(t)
	_, err := p.ReleaseHold(t.Context(), "b", &peerv1.ReleaseHoldRequest{})
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.DidNotRun || e.Code != "no-hold" {
		t.Fatal(err)
	}
}

// Guards against the verdict MayHaveRun for calls that cannot have been sent, and
// against a caller that blocks forever because a listener does not answer.
func TestVerdictOfUnsentCallIsDidNotRun(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	p := NewPool(NewCounts(tally.NoopScope))
	defer p.Close()
	if err := p.SetPeers(map[string]string{"silent": silent.Addr().String(), "closed": closed.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for node, ctx := range map[string]context.Context{"silent": t.Context(), "closed": t.Context(), "unknown": ended} {
		began := time.Now()
		_, err := p.Exchange(ctx, node, &peerv1.ExchangeRequest{})
		if err == nil || verdict.Of(err) != verdict.DidNotRun {
			t.Errorf("%s: %v", node, err)
		}
		t.Logf("%s: %v after %v", node, err, time.Since(began))
	}
}

// relay is a TCP proxy. Once frozen, existing connections stay open but forward
// nothing.
type relay struct {
	net.Listener
	to     string
	frozen atomic.Bool
}

func (r *relay) run() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.to)
		if err != nil {
			c.Close()
			continue
		}
		dropsData := r.frozen.Load // Connections accepted after the freeze still forward.
		if dropsData() {
			dropsData = func() bool { return false }
		}
		for _, pair := range [][2]net.Conn{{c, up}, {up, c}} {
			go func() {
				buf := make([]byte, 4096)
				for {
					n, err := pair[0].Read(buf)
					if err != nil {
						pair[1].Close()
						return
					}
					if !dropsData() {
						_, _ = pair[1].Write(buf[:n]) // The next read reports a closed connection.
					}
				}
			}()
		}
	}
}

// Guards against a caller that keeps using a dead connection while new
// connections to the same peer work.
func TestResetReplacesDeadConnection(t *testing.T) {
	_, _, p, _ := start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: l, to: p.peers["b"].address}
	done := make(chan struct{})
	go func() { r.run(); close(done) }()
	defer func() { l.Close(); <-done }()
	if err := p.SetPeers(map[string]string{"b": l.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	call := func() error {
		_, err := p.Exchange(t.Context(), "b", &peerv1.ExchangeRequest{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	r.frozen.Store(true)
	if err := call(); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("on the silent connection: %v", err)
	}
	if err := p.Reset("b"); err != nil {
		t.Fatal(err)
	}
	if err := call(); err != nil {
		t.Fatalf("on a fresh connection: %v", err)
	}
}
