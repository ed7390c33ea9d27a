package owner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// fakeHostClient answers polls until it is set to refuse connections.
type fakeHostClient struct {
	HostClient
	startedAt time.Time
	refuses   atomic.Bool
	polls     atomic.Int64
}

func (r *fakeHostClient) Poll(ctx context.Context, _ *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	r.polls.Add(1)
	if r.refuses.Load() {
		return cell.HostReport{}, 0, platform.NotRefused, verdict.New(verdict.DidNotRun, "test", "connection refused")
	}
	if o.Wait > 0 {
		ctxtime.Sleep(ctx, 20*time.Millisecond)
	}
	return cell.HostReport{StartedMs: 1, ClockMs: time.Since(r.startedAt).Milliseconds()}, 0, platform.NotRefused, nil
}

type fakeJournal struct{ records atomic.Int64 }

func (j *fakeJournal) Store(_ context.Context, records []platform.Record) error {
	j.records.Add(int64(len(records)))
	return nil
}

// Guards against runs on a dead host that count as present forever, because
// each failed poll was assumed to have renewed the lease there.
func TestLeaseOfUnreachableHostExpires(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := gomega.NewWithT(t)
	clock := boottime.Clock{}
	hostClient := &fakeHostClient{startedAt: time.Now()}
	w := New(Options{
		Self: registry.Ownership{Node: "n", InstanceID: "b", Token: 1}, Clock: clock, WallClock: func() time.Duration { return 0 }, Desired: func() *cell.Desired { return nil },
		Log: slog.New(slog.DiscardHandler), HostClient: hostClient, Journal: &fakeJournal{},
		EarlierOwnersGone: func() bool { return true }, MaxLease: 300 * time.Millisecond, RetentionPeriod: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	host := cell.Host{ID: "h", Service: "s", Address: "x"}
	w.SetHosts(ctx, map[string]registry.Host{"h": {Spec: host}}, []cell.Host{host})
	state := func() (runsKnown, allRunsGone bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.hosts["h"].runsKnown, w.hosts["h"].allRunsGone
	}
	g.Eventually(func() bool { runsKnown, _ := state(); return runsKnown && hostClient.polls.Load() > 3 }, "5s").Should(gomega.BeTrue())
	hostClient.refuses.Store(true)
	g.Eventually(func() bool { _, allRunsGone := state(); return allRunsGone }, "10s").Should(gomega.BeTrue())
	hostClient.refuses.Store(false)
	g.Eventually(func() bool { _, allRunsGone := state(); return !allRunsGone }, "5s").Should(gomega.BeTrue())
	cancel()
	<-ended
}

// wakingHostClient requests another poll while it answers one.
type wakingHostClient struct {
	HostClient
	wake func()
}

func (c *wakingHostClient) Poll(context.Context, *cell.Host, platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	c.wake()
	return cell.HostReport{StartedMs: 1}, 0, platform.NotRefused, nil
}

// Guards against a request for another poll that is lost in one that is just over, so that
// the host holds the next one open for up to a second.
func TestRequestedPollIsNotLost(t *testing.T) {
	h := newHostTest(t)
	h.list(nil, testHost("h", "a"))
	p := h.poller("h")
	h.options.HostClient = &wakingHostClient{wake: p.pollNow}
	for n := range 200 {
		h.poll(t.Context(), p, h.clock.now)
		select {
		case <-p.interrupt:
		default:
			t.Fatalf("the request in poll %d is lost", n)
		}
	}
}
