package owner

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// selectiveJournal leaves out records, as one does that the store can never take.
type selectiveJournal struct {
	leavesOut func(r platform.Record) bool
	mu        sync.Mutex
	log       *registry.Registry
	offset    uint64
}

func (j *selectiveJournal) Store(_ context.Context, records []platform.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var leftOut *worklog.UnstorableError
	for _, r := range records {
		if j.leavesOut(r) {
			leftOut = &worklog.UnstorableError{Keys: []string{r.Key}}
			continue
		}
		j.offset++
		r.Offset = j.offset
		j.log.Apply(r)
	}
	if leftOut != nil {
		return leftOut
	}
	return nil
}

// Guards against a done task that runs again after a takeover: the progress with its end was
// left out of a round, and the end was acknowledged to its host after the next round, which
// did not have the progress either.
func TestEndsThatWereLeftOutOfARoundAreNotAcknowledged(t *testing.T) {
	g := gomega.NewWithT(t)
	sub := &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: 2}}}
	journal := &selectiveJournal{log: registry.New(slog.New(slog.DiscardHandler))}
	journal.log.Apply(registry.SubmissionRecord(sub))
	journal.leavesOut = func(r platform.Record) bool {
		_, ok := registry.SubmissionOfProgress(r.Key)
		return ok && len(r.Value) > len(`{"state":0}`) // all but a final state
	}
	clock := boottime.Clock{}
	ow := New(Options{
		Self: registry.Ownership{Token: 2}, Clock: clock, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler), Desired: func() *cell.Desired { return nil },
		EarlierOwnersGone: func() bool { return true }, Journal: journal, RetentionPeriod: time.Minute,
	})
	ow.scheduler.SetHosts([]cell.Host{{ID: "h"}})
	ow.scheduler.Add(sub, cell.Progress{}, false, clock.Now(), 0)
	ow.scheduler.ApplyReport("h", clock.Now(), clock.Now(), cell.HostReport{StartedMs: 1, Ended: []cell.Ended{{Number: 1, Task: cell.TaskID{Submission: "x"}, Run: 1, Outcome: cell.OutcomeDone}}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { ow.persist(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	waitCtx, cancelWait := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancelWait()
	if !ow.storeRounds.waitStored(waitCtx) {
		t.Fatal("one submission that cannot be stored holds up all ends")
	}
	e, _ := journal.log.Find("x")
	g.Expect(e.Progress.State).To(gomega.Equal(cell.Failed), "the end counts as stored, and a successor starts its task")
}
