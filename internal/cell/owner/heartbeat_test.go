package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// shiftedClock is a clock that the test can put forward.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) Now() time.Duration {
	return boottime.Clock{}.Now() + time.Duration(c.shift.Load())
}

// heartbeatJournal counts the ownership records that are stored. An append waits while
// the test holds down.
type heartbeatJournal struct {
	down       sync.Mutex
	heartbeats atomic.Int64
	others     atomic.Int64
}

func (j *heartbeatJournal) Store(_ context.Context, records []platform.Record) error {
	j.down.Lock()
	defer j.down.Unlock()
	for _, r := range records {
		if registry.IsOwnership(r) {
			j.heartbeats.Add(1)
		} else {
			j.others.Add(1)
		}
	}
	return nil
}

// runOwner runs an owner with one host until the test ends.
func runOwner(t *testing.T, o Options) *Owner {
	t.Helper()
	ow := newOwnerWithHost(o, cell.Queue{Name: "q", Service: "s"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { ow.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return ow
}

// Guards against an owner that acts and is replaced, since its heartbeats and its answer
// that it acts wait for a long decision.
func TestHeartbeatsDoNotWaitForDecisions(t *testing.T) {
	g := gomega.NewWithT(t)
	journal := &heartbeatJournal{}
	ow := runOwner(t, Options{Journal: journal})
	ow.mu.Lock() // a decision holds the lock
	defer ow.mu.Unlock()
	before := journal.heartbeats.Load()
	g.Eventually(journal.heartbeats.Load, "5s").Should(gomega.BeNumerically(">=", before+3))
	acts := make(chan bool, 1)
	go func() { acts <- ow.Acts() }()
	g.Eventually(acts, "5s").Should(gomega.Receive(gomega.BeTrue()))
}

// Guards against an owner that is kept although it does not decide any more.
func TestOwnerThatDoesNotDecideShowsNoSignOfLife(t *testing.T) {
	g := gomega.NewWithT(t)
	journal, clock := &heartbeatJournal{}, &shiftedClock{}
	ow := runOwner(t, Options{Journal: journal, Clock: clock})
	ow.mu.Lock() // a decision does not end
	unlock := sync.OnceFunc(ow.mu.Unlock)
	defer unlock()
	time.Sleep(4 * maxDecisionInterval) // the next decision waits for the lock
	clock.shift.Store(int64(decisionTimeout + time.Second))
	g.Eventually(ow.Acts, "5s").Should(gomega.BeFalse())
	var before int64
	g.Eventually(func() bool { // a heartbeat may have been due before
		before = journal.heartbeats.Load()
		time.Sleep(3 * heartbeatInterval)
		return journal.heartbeats.Load() == before
	}, "10s").Should(gomega.BeTrue())
	unlock()
	g.Eventually(ow.Acts, "5s").Should(gomega.BeTrue())
	g.Eventually(journal.heartbeats.Load, "5s").Should(gomega.BeNumerically(">", before))
}

// Guards against an owner that never acts again after an outage of the store that was
// longer than its authority.
func TestOwnerActsAgainAfterOutageOfStore(t *testing.T) {
	g := gomega.NewWithT(t)
	journal, clock := &heartbeatJournal{}, &shiftedClock{}
	ow := runOwner(t, Options{Journal: journal, Clock: clock})
	g.Eventually(journal.heartbeats.Load, "5s").Should(gomega.BeNumerically(">", 0))
	journal.down.Lock()
	restore := sync.OnceFunc(journal.down.Unlock)
	defer restore()
	for range 3 {
		clock.shift.Add(int64(AuthorityDuration / 2))
		time.Sleep(2 * maxDecisionInterval)
	}
	g.Eventually(ow.Acts, "5s").Should(gomega.BeFalse())
	restore()
	g.Eventually(ow.Acts, "5s").Should(gomega.BeTrue())
}

// Guards against an owner that looks dead while it stores only records of hosts, which
// are no sign that it decides.
func TestRecordsOfHostsReplaceNoHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	journal := &heartbeatJournal{}
	ow := runOwner(t, Options{Journal: journal})
	g.Eventually(func() int64 {
		g.Expect(ow.store(t.Context(), []platform.Record{registry.HostRecord(registry.Host{})})).To(gomega.Succeed())
		return journal.heartbeats.Load()
	}, "3s", heartbeatCheckInterval).Should(gomega.BeNumerically(">=", 2)) // the first one tells that all is reconciled
}

// Guards against a heartbeat behind the record that releases the ownership: it would show
// the other nodes an owner that acts.
func TestStoppedOwnerWritesNoHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	journal := &heartbeatJournal{}
	ow := runOwner(t, Options{Journal: journal})
	g.Eventually(journal.heartbeats.Load, "5s").Should(gomega.BeNumerically(">", 0))
	g.Expect(ow.Stop(t.Context())).To(gomega.BeTrue())
	before := journal.heartbeats.Load()
	g.Consistently(journal.heartbeats.Load, 2*heartbeatInterval).Should(gomega.Equal(before))
}
