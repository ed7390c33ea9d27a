package peers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

func TestPeers(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "peers")
}

// fakePeer is a Handler whose advice calls wait until release is closed.
type fakePeer struct {
	release       chan struct{}
	inFlight      atomic.Int64
	takeoverToken atomic.Int64
	forwards      atomic.Int64
	status        int
	// appended is the key of the last record to append; appendVerdict is the answer.
	appended      atomic.Value
	appendVerdict verdict.Verdict
	// unresponsive makes forwarded calls wait until their context ends.
	unresponsive bool
	panics       bool
}

func newFakePeer() *fakePeer { return &fakePeer{release: make(chan struct{}), status: http.StatusOK} }

func (p *fakePeer) Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	select {
	case <-p.release:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "advice call cancelled")
	}
	return &AdviseResponse{Tickets: map[string]string{r.Hosts[0]: "t"}}, nil
}

func (p *fakePeer) Forward(ctx context.Context, _ *CallRequest) (*CallResponse, error) {
	p.forwards.Add(1)
	if p.panics {
		panic("a fault that nobody expected")
	}
	if p.unresponsive {
		<-ctx.Done()
		return nil, eris.Wrap(ctx.Err(), "forwarded call not answered")
	}
	return &CallResponse{Status: p.status}, nil
}

func (p *fakePeer) HandleTakeoverRequest(_ context.Context, r *TakeoverRequest) (*TakeoverResponse, error) {
	p.takeoverToken.Store(r.Token)
	return &TakeoverResponse{}, nil
}

func (p *fakePeer) OwnerStatus(context.Context, *OwnerStatusRequest) (*OwnerStatusResponse, error) {
	return &OwnerStatusResponse{}, nil
}

func (p *fakePeer) AppendRecord(_ context.Context, r *AppendRequest) (*AppendResponse, error) {
	p.appended.Store(r.Key)
	return &AppendResponse{Verdict: p.appendVerdict}, nil
}

var _ = ginkgo.Describe("the pool", func() {
	var pool *Pool
	var address string
	var peers []*fakePeer
	ctx := context.Background()
	ginkgo.BeforeEach(func() {
		self := newFakePeer()
		peers = []*fakePeer{self}
		pool = NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", self)
		others := map[string]Peer{}
		for _, name := range []string{"a", "b"} {
			p := newFakePeer()
			peers = append(peers, p)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := NewServer(p)
			go func() { _ = server.Serve(l) }()
			ginkgo.DeferCleanup(server.Stop)
			address = l.Addr().String()
			others[name] = Peer{Address: l.Addr().String(), Follows: true}
		}
		pool.SetPeers(others)
		ginkgo.DeferCleanup(pool.Close)
	})
	inFlight := func() (n int64) {
		for _, p := range peers {
			n += p.inFlight.Load()
		}
		return n
	}
	ask := func(cost time.Duration, priority int) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := pool.Ask(ctx, advice.Call{Group: cell.GroupID{Submission: "x"}, Hosts: []string{"h"}, Duration: cost}, priority)
			done <- err
		}()
		return done
	}

	// Guards against short urgent calls that wait because long calls occupy every
	// node.
	ginkgo.It("keeps a node free of long calls", func() {
		const long = 10 * time.Second
		for range 5 {
			ask(long, 1)
		}
		gomega.Eventually(inFlight, "5s").Should(gomega.Equal(int64(2)))
		gomega.Eventually(pool.Waiting, "5s").Should(gomega.Equal(3))
		short := ask(5*time.Second/100, 0)
		gomega.Eventually(inFlight, "5s").Should(gomega.Equal(int64(3)))
		for _, p := range peers {
			close(p.release)
		}
		gomega.Eventually(short, "5s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Eventually(pool.Waiting, "5s").Should(gomega.BeZero())
	})

	// Guards against a record that another node stored and that counts as not stored,
	// and against one that counts as stored since the other node answered.
	ginkgo.It("appends a record through another node and returns its verdict", func() {
		r := platform.Record{Key: "s/1", Value: []byte("x")}
		peers[1].appendVerdict = verdict.DidRun
		gomega.Expect(pool.Append(ctx, "a", r)).To(gomega.Succeed())
		gomega.Expect(peers[1].appended.Load()).To(gomega.Equal("s/1"))
		for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.DidNotRun} {
			peers[2].appendVerdict = v
			gomega.Expect(verdict.Of(pool.Append(ctx, "b", r))).To(gomega.Equal(v))
		}
		gomega.Expect(verdict.Of(pool.Append(ctx, "unknown", r))).To(gomega.Equal(verdict.DidNotRun))
	})

	// Guards against a process that ends since one call of another node fails in an
	// unexpected way.
	ginkgo.It("survives a call that panics", func() {
		peers[1].panics, peers[2].panics = true, true
		_, err := pool.Forward(ctx, &CallRequest{Method: "POST"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
		gomega.Expect(pool.remote("a").probe(ctx)).To(gomega.Succeed())
	})

	// Guards against a caller that is told "did not run" about work that another node
	// may have stored, and against endless attempts at nodes that cannot answer.
	ginkgo.It("forwards to nodes that can answer", func() {
		a, err := pool.Forward(ctx, &CallRequest{Method: "GET"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Status).To(gomega.Equal(http.StatusOK))
		peers[1].status, peers[2].status = http.StatusServiceUnavailable, http.StatusServiceUnavailable
		_, err = pool.Forward(ctx, &CallRequest{Method: "GET"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
		pool.SetPeers(nil)
		_, err = pool.Forward(ctx, &CallRequest{Method: "GET"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
	})

	// Guards against a refusal of work that a node which was asked earlier may have
	// stored.
	ginkgo.It("does not pass on a refusal after another node may have acted", func() {
		for unresponsiveFirst := false; !unresponsiveFirst; {
			peers[1].unresponsive, peers[2].status = true, http.StatusUnauthorized
			before := peers[1].forwards.Load()
			a, err := pool.Forward(ctx, &CallRequest{Method: "POST"})
			unresponsiveFirst = peers[1].forwards.Load() > before
			if unresponsiveFirst {
				gomega.Expect(err).To(gomega.HaveOccurred())
				gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
			} else {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(a.Status).To(gomega.Equal(http.StatusUnauthorized))
			}
		}
	})

	// Guards against a call that is sent to one node after the other at a slow store,
	// although the first one is alive and waits for the store.
	ginkgo.It("waits longer for a node that is alive at a slow store", func() {
		pool.StoreAnswerTime = func() time.Duration { return time.Second }
		for _, p := range peers {
			p.unresponsive = true
		}
		c, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err := pool.Forward(c, &CallRequest{Method: "POST"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
		gomega.Expect(peers[1].forwards.Load() + peers[2].forwards.Load()).To(gomega.Equal(int64(1)))
	})

	// Guards against calls that spend their whole deadline on the connection to a
	// machine that no longer exists.
	ginkgo.It("forwards past a node that cannot be reached", func() {
		silentListener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(silentListener.Close)
		for n := range 20 {
			name := "gone-" + strconv.Itoa(n)
			gomega.Expect(len(pool.forwardTargets())).To(gomega.BeNumerically(">=", 1))
			pool.SetPeers(map[string]Peer{name: {Address: silentListener.Addr().String(), Follows: true}, "a": {Address: address, Follows: true}})
			c, cancel := context.WithTimeout(ctx, 5*connectTimeout)
			a, err := pool.Forward(c, &CallRequest{Method: "GET"})
			cancel()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.Status).To(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a cell that waits for the heartbeat timeout although the owner's
	// process has exited, and against one that takes the ownership from a live owner.
	ginkgo.It("detects when a machine refuses connections", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		server := NewServer(newFakePeer())
		go func() { _ = server.Serve(l) }()
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		pool.SetPeers(map[string]Peer{
			"owner": {Address: l.Addr().String(), Follows: true}, "silent": {Address: silent.Addr().String(), Follows: true},
		})
		gomega.Expect(pool.RefusesConnections(ctx, "owner")).To(gomega.BeFalse())
		gomega.Expect(pool.RefusesConnections(ctx, "silent")).To(gomega.BeFalse())
		gomega.Expect(pool.RefusesConnections(ctx, "unknown")).To(gomega.BeFalse())
		gomega.Expect(pool.RefusesConnections(ctx, "self")).To(gomega.BeFalse())
		server.Stop()
		gomega.Eventually(func() bool { return pool.RefusesConnections(ctx, "owner") }, "5s").Should(gomega.BeTrue())
	})

	// Guards against a cell that waits for the heartbeat timeout of an owner that
	// knows that it cannot continue.
	ginkgo.It("asks every other node to take over the ownership", func() {
		gomega.Expect(pool.RequestTakeover(7)).To(gomega.BeTrue())
		gomega.Eventually(func() int64 { return min(peers[1].takeoverToken.Load(), peers[2].takeoverToken.Load()) }, "5s").Should(gomega.Equal(int64(7)))
	})
})
