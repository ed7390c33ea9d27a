package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// deletionJournal counts the submissions that are deleted.
type deletionJournal struct {
	mu      sync.Mutex
	deleted int
	largest int
}

func (j *deletionJournal) Store(_ context.Context, records []platform.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.largest = max(j.largest, len(records))
	for _, r := range records {
		if len(r.Value) == 0 && r.Key[0] == 's' {
			j.deleted++
		}
	}
	return nil
}

func (j *deletionJournal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.deleted
}

// Guards against finished submissions that are deleted more slowly than others finish, until
// they take all memory.
func TestDeletionsKeepUpWithEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	const finished = 5000
	g := gomega.NewWithT(t)
	journal, clock := &deletionJournal{}, &shiftedClock{}
	w := New(Options{
		Self: registry.Ownership{Token: 1}, Clock: clock, WallClock: func() time.Duration { return 0 }, Desired: func() *cell.Desired { return nil },
		Log: slog.New(slog.DiscardHandler), Journal: journal, EarlierOwnersGone: func() bool { return true }, RetentionPeriod: -time.Minute,
	})
	for i := range finished {
		id := fmt.Sprintf("%016x", i)
		w.retained[id] = finishedSubmission{id: id, at: clock.Now()}
	}
	ctx, cancel := context.WithCancel(t.Context())
	w.runGuarded(func() { w.persist(ctx) })
	g.Expect(w.storeRounds.waitStored(ctx)).To(gomega.BeTrue())
	clock.shift.Store(int64(expiryScanInterval + time.Second))
	g.Eventually(journal.count, "20s").Should(gomega.Equal(finished))
	cancel()
	w.goroutines.Wait()
	if journal.largest > maxRecordsPerAppend {
		t.Errorf("%d records in one append, want at most %d", journal.largest, maxRecordsPerAppend)
	}
}
