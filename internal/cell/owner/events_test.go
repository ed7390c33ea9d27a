package owner

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a node that learns seconds late of a successor and of its own appends,
// since the goroutine that reads the log waits for a decision of the owner.
func TestReaderOfLogDoesNotWaitForOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := cell.Queue{Name: "q", Service: "s"}
	ow := newOwnerWithHost(Options{}, queue)
	ow.mu.Lock() // a decision holds the lock
	read := make(chan struct{})
	go func() {
		defer close(read)
		for i := range 100 {
			submit(ow, fmt.Sprintf("%016x", i), queue)
		}
		ow.CancelRequested(fmt.Sprintf("%016x", 7))
	}()
	g.Eventually(read, "5s").Should(gomega.BeClosed())
	ow.mu.Unlock()
	ow.decide(t.Context())
	for i := range 100 {
		id := fmt.Sprintf("%016x", i)
		p, ok := ow.scheduler.Progress(id)
		g.Expect(ok).To(gomega.BeTrue(), "%s is unknown", id)
		g.Expect(p.State == cell.Cancelled).To(gomega.Equal(i == 7), "%s is %s", id, p.State)
	}
}

// Guards against an owner that is replaced while it takes over a long backlog, and
// against one that polls hosts, and stops the runs there, before it knows what runs.
func TestOwnerShowsThatItActsWhileItLoads(t *testing.T) {
	g := gomega.NewWithT(t)
	journal := &heartbeatJournal{}
	proceed := make(chan struct{})
	ow := runOwner(t, Options{Journal: journal, Stored: func() []registry.Entry {
		<-proceed
		return []registry.Entry{{Submission: &cell.Submission{ID: "0000000000000001", Steps: []cell.Step{{Count: 1}}}}}
	}})
	g.Eventually(journal.heartbeats.Load, "5s").Should(gomega.BeNumerically(">=", 3))
	g.Expect(ow.Acts()).To(gomega.BeTrue())
	g.Expect(ow.loaded).NotTo(gomega.BeClosed())
	close(proceed)
	g.Expect(ow.WaitLoaded(t.Context())).To(gomega.BeTrue())
	g.Expect(ow.Explain("0000000000000001")).NotTo(gomega.BeEmpty())
}
