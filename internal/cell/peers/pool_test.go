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
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

func TestPeers(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "peers")
}

// fakePeer answers when it is released.
type fakePeer struct {
	release  chan struct{}
	present  atomic.Int64
	yielded  atomic.Int64
	forwards atomic.Int64
	status   int
	// mute keeps forwarded calls without an answer.
	mute bool
}

func newFakePeer() *fakePeer { return &fakePeer{release: make(chan struct{}), status: http.StatusOK} }

func (p *fakePeer) Advise(ctx context.Context, r *AdviseRequest) (*AdviseResponse, error) {
	p.present.Add(1)
	defer p.present.Add(-1)
	select {
	case <-p.release:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "given up")
	}
	return &AdviseResponse{Tickets: map[string]string{r.Hosts[0]: "t"}}, nil
}

func (p *fakePeer) Forward(ctx context.Context, _ *ForwardRequest) (*ForwardResponse, error) {
	p.forwards.Add(1)
	if p.mute {
		<-ctx.Done()
		return nil, eris.Wrap(ctx.Err(), "mute")
	}
	return &ForwardResponse{Status: p.status}, nil
}

func (p *fakePeer) Yield(_ context.Context, r *YieldRequest) (*YieldResponse, error) {
	p.yielded.Store(r.Token)
	return &YieldResponse{}, nil
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
		others := map[string]Other{}
		for _, name := range []string{"a", "b"} {
			p := newFakePeer()
			peers = append(peers, p)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			server := NewServer(p)
			go func() { _ = server.Serve(l) }()
			ginkgo.DeferCleanup(server.Stop)
			address = l.Addr().String()
			others[name] = Other{Address: l.Addr().String(), Follows: true}
		}
		pool.SetNodes(others)
		ginkgo.DeferCleanup(pool.Close)
	})
	present := func() (n int64) {
		for _, p := range peers {
			n += p.present.Load()
		}
		return n
	}
	ask := func(cost time.Duration, priority int) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := pool.Ask(ctx, cell.GroupID{Submission: "x"}, []string{"h"}, cost, priority)
			done <- err
		}()
		return done
	}

	// Guards against short urgent calls that wait behind long ones on every node.
	ginkgo.It("keeps long calls from taking every node", func() {
		const long = 10 * time.Second
		for range 5 {
			ask(long, 1)
		}
		gomega.Eventually(present, "5s").Should(gomega.Equal(int64(2)))
		gomega.Eventually(pool.Waiting, "5s").Should(gomega.Equal(3))
		short := ask(5*time.Second/100, 0)
		gomega.Eventually(present, "5s").Should(gomega.Equal(int64(3)))
		for _, p := range peers {
			close(p.release)
		}
		gomega.Eventually(short, "5s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Eventually(pool.Waiting, "5s").Should(gomega.BeZero())
	})

	// Guards against a caller that is told "not run" of work that another node
	// may have stored, and against a node that cannot help being asked for ever.
	ginkgo.It("forwards to nodes that can answer", func() {
		a, err := pool.Forward(ctx, &ForwardRequest{Method: "GET"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Status).To(gomega.Equal(http.StatusOK))
		peers[1].status, peers[2].status = http.StatusServiceUnavailable, http.StatusServiceUnavailable
		_, err = pool.Forward(ctx, &ForwardRequest{Method: "GET"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
		pool.SetNodes(nil)
		_, err = pool.Forward(ctx, &ForwardRequest{Method: "GET"})
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
	})

	// Guards against a refusal of what an earlier node may have stored.
	ginkgo.It("passes no refusal on once another node may have acted", func() {
		for muteFirst := false; !muteFirst; {
			peers[1].mute, peers[2].status = true, http.StatusUnauthorized
			before := peers[1].forwards.Load()
			a, err := pool.Forward(ctx, &ForwardRequest{Method: "POST"})
			muteFirst = peers[1].forwards.Load() > before
			if muteFirst {
				gomega.Expect(err).To(gomega.HaveOccurred())
				gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
			} else {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(a.Status).To(gomega.Equal(http.StatusUnauthorized))
			}
		}
	})

	// Guards against callers that wait for their whole patience for a connection
	// to a machine that is gone.
	ginkgo.It("forwards past a node that cannot be reached", func() {
		full, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and says nothing
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(full.Close)
		for n := range 20 {
			name := "gone-" + strconv.Itoa(n)
			gomega.Expect(len(pool.followers())).To(gomega.BeNumerically(">=", 1))
			pool.SetNodes(map[string]Other{name: {Address: full.Addr().String(), Follows: true}, "a": {Address: address, Follows: true}})
			c, cancel := context.WithTimeout(ctx, 5*connectFor)
			a, err := pool.Forward(c, &ForwardRequest{Method: "GET"})
			cancel()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(a.Status).To(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a cell that waits for the silence of an owner whose process
	// has ended, and against one that takes the ownership from a live owner.
	ginkgo.It("tells when a machine refuses connections", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		server := NewServer(newFakePeer())
		go func() { _ = server.Serve(l) }()
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		pool.SetNodes(map[string]Other{
			"owner": {Address: l.Addr().String(), Follows: true}, "silent": {Address: silent.Addr().String(), Follows: true},
		})
		gomega.Expect(pool.Refuses(ctx, "owner")).To(gomega.BeFalse())
		gomega.Expect(pool.Refuses(ctx, "silent")).To(gomega.BeFalse())
		gomega.Expect(pool.Refuses(ctx, "unknown")).To(gomega.BeFalse())
		gomega.Expect(pool.Refuses(ctx, "self")).To(gomega.BeFalse())
		server.Stop()
		gomega.Eventually(func() bool { return pool.Refuses(ctx, "owner") }, "5s").Should(gomega.BeTrue())
	})

	// Guards against a cell that waits for the silence of an owner that knows it
	// cannot go on.
	ginkgo.It("tells every other node that the owner yields", func() {
		gomega.Expect(pool.Yield(7)).To(gomega.BeTrue())
		gomega.Eventually(func() int64 { return min(peers[1].yielded.Load(), peers[2].yielded.Load()) }, "5s").Should(gomega.Equal(int64(7)))
	})
})
