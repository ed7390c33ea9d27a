package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// blockedLog is a Recorder that logs no outcome before it is opened.
type blockedLog struct {
	*memoryLog
	open chan struct{}
}

func (l blockedLog) Outcomes(ctx context.Context, records ...*ledgerv1.Outcomes) error {
	select {
	case <-l.open:
		return l.memoryLog.Outcomes(ctx, records...)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUnlogged waits until a task has ended whose outcome is not logged.
func waitUnlogged(t *testing.T, s *Dispatcher) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); s.Dump().Unlogged == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no task has ended")
		}
	}
}

// Guards against a shard that starts nothing any more after its transfer was
// given up, for example because outcomes could not be logged in time.
func TestFailedQuiesceAllowsStarts(t *testing.T) {
	c := newTestShard(t, 2)
	log := blockedLog{memoryLog: c.log, open: make(chan struct{})}
	s := c.startOwnerWith(t, 1, log)
	s.AddJob(job("before", 4, true, "run=10ms"), false)
	waitUnlogged(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := s.Quiesce(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("quiesce with unlogged outcomes: %v", err)
	}
	close(log.open)
	s.AddJob(job("after", 4, true, "run=10ms"), false)
	c.log.waitForOutcomes(t, 8)
	c.checkExecutions(t, true)
}

// Guards against a report about a transfer that was given up when the dispatcher
// stopped: it would be mistaken for one about the next transfer.
func TestQuiesceEndsWithDispatcher(t *testing.T) {
	c := newTestShard(t, 1)
	s := c.startOwnerWith(t, 1, blockedLog{memoryLog: c.log, open: make(chan struct{})})
	s.AddJob(job("j", 1, true, "run=10ms"), false)
	waitUnlogged(t, s)
	go s.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Quiesce(ctx); !errors.Is(err, ErrStopped) {
		t.Fatalf("quiesce of a stopped dispatcher: %v", err)
	}
}
