package owner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// renewalCounter is a client of a host that counts the polls which renew its lease.
type renewalCounter struct {
	fakeHostClient
	renewals atomic.Int64
}

func (r *renewalCounter) Poll(ctx context.Context, h *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	if o.LeaseEndMs > 0 {
		r.renewals.Add(1)
	}
	return r.fakeHostClient.Poll(ctx, h, o)
}

// Guards against a task that runs twice: an owner that has stored the release of the ownership
// waits for the answer of a slow store, and renews leases meanwhile. Its successor counts the
// leases from its claim, which may come before that answer.
func TestStoppedOwnerRenewsNoLease(t *testing.T) {
	g := gomega.NewWithT(t)
	client := &renewalCounter{fakeHostClient: fakeHostClient{startedAt: time.Now()}}
	clock := boottime.Clock{}
	ow := New(Options{
		Self: registry.Ownership{Node: "n", InstanceID: "b", Token: 1}, Clock: clock, WallClock: func() time.Duration { return 0 }, Desired: func() *cell.Desired { return nil },
		Log: slog.New(slog.DiscardHandler), HostClient: client, Journal: &fakeJournal{}, EarlierOwnersGone: func() bool { return true },
		ClaimSent: clock.Now(), ClaimedAt: clock.Now(), RetentionPeriod: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { ow.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	host := cell.Host{ID: "h", Service: "s", Address: "x"}
	ow.SetHosts(ctx, map[string]registry.Host{"h": {Spec: host}}, []cell.Host{host})
	g.Eventually(client.renewals.Load, "5s").Should(gomega.BeNumerically(">", 2))
	g.Expect(ow.Stop(t.Context())).To(gomega.BeTrue())
	before := client.renewals.Load()
	g.Consistently(client.renewals.Load, "300ms").Should(gomega.BeNumerically("<=", before+1), "one poll may have begun before")
}
