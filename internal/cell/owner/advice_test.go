package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// silentAdvisor never answers.
type silentAdvisor struct {
	capacity cell.AdviceRoom
	inFlight atomic.Int64
}

func (a *silentAdvisor) Ask(ctx context.Context, _ advice.Call, _ int) (map[string]string, error) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	<-ctx.Done()
	return nil, ctx.Err()
}

func (a *silentAdvisor) Capacity() cell.AdviceRoom { return a.capacity }

// newOwnerWithHost returns an owner that has one host, which nothing runs on, and that
// does not run.
func newOwnerWithHost(o Options, queue cell.Queue) *Owner {
	o.Self, o.WallClock = registry.Ownership{Token: 1}, func() time.Duration { return 0 }
	if o.Clock == nil {
		o.Clock = boottime.Clock{}
	}
	o.Log, o.ClaimSent = slog.New(slog.DiscardHandler), o.Clock.Now()
	o.Desired = func() *cell.Desired { return &cell.Desired{Version: 1, Queues: []cell.Queue{queue}} }
	o.EarlierOwnersGone = func() bool { return true }
	ow := New(o)
	host := cell.Host{ID: "h", Service: queue.Service, Capacity: resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000}}
	ow.scheduler.SetHosts([]cell.Host{host})
	ow.scheduler.SetListedHosts([]cell.Host{host})
	now := ow.options.Clock.Now()
	ow.scheduler.ApplyReport("h", now, now, cell.HostReport{StartedMs: 1})
	ow.scheduler.MarkReconciled(now)
	ow.reconciled.Store(true)
	return ow
}

// submit passes an accepted submission to the owner.
func submit(ow *Owner, id string, queue cell.Queue) {
	step := cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1000}, Estimate: time.Second}
	ow.Submitted(registry.Entry{Submission: &cell.Submission{ID: id, Team: "t", Queue: queue, Steps: []cell.Step{step}}})
}

// Guards against an owner with a backlog that makes an advice call for each waiting
// submission at once, although the nodes take only a few at a time.
func TestAdviceCallsInFlightAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	advisor := &silentAdvisor{capacity: cell.AdviceRoom{Short: 5, Long: 3, LongFrom: 150 * time.Millisecond}}
	short := cell.Queue{Name: "short", Service: "s", Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{Decision: 10 * time.Millisecond, Validity: time.Second}}
	long := short
	long.Name, long.Advice = "long", &cell.AdvicePolicy{Decision: time.Second, Validity: time.Second}
	ow := newOwnerWithHost(Options{Advisor: advisor}, short)
	for i := range 200 {
		submit(ow, fmt.Sprintf("%016x", 2*i), short)
		submit(ow, fmt.Sprintf("%016x", 2*i+1), long)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for range 5 {
		ow.decide(ctx)
	}
	g.Eventually(advisor.inFlight.Load, "5s").Should(gomega.Equal(int64(8)))
	g.Consistently(advisor.inFlight.Load, "100ms").Should(gomega.Equal(int64(8)))
	cancel()
	ow.goroutines.Wait()
}
