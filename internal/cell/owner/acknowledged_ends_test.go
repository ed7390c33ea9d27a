package owner

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// fencingJournal stores a number of records, one by one as if each were an append, and is
// fenced then. Some of its answers are late.
type fencingJournal struct {
	mu     sync.Mutex
	log    *registry.Registry
	offset uint64
	until  uint64
	delays []time.Duration
}

func (j *fencingJournal) Store(_ context.Context, records []platform.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range records {
		if j.offset >= j.until {
			return platform.ErrFenced
		}
		j.offset++
		r.Offset = j.offset
		j.log.Apply(r)
	}
	time.Sleep(j.delays[j.offset%uint64(len(j.delays))])
	return nil
}

// endingHost is a host on which the runs of one submission end. It forgets ends that are
// acknowledged.
type endingHost struct {
	HostClient
	ended        []cell.Ended
	acknowledged int64
}

func (h *endingHost) Poll(_ context.Context, _ *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	h.acknowledged = max(h.acknowledged, o.Ack)
	for len(h.ended) > 0 && h.ended[0].Number <= o.Ack {
		h.ended = h.ended[1:]
	}
	return cell.HostReport{StartedMs: 1, ClockMs: 1, Ended: h.ended}, 0, platform.NotRefused, nil
}

// Guards against a done task that is started again, since its end was acknowledged to the host
// although the owner was fenced within the round that stored it, or before.
func TestAcknowledgedEndsAreKnownToTheSuccessor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tasks := rapid.SampledFrom([]int{1, 5, 1500}).Draw(rt, "tasks")
		sub := &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: tasks + 1}}}
		journal := &fencingJournal{log: registry.New(slog.New(slog.DiscardHandler)), until: uint64(rapid.IntRange(0, 12).Draw(rt, "records until the owner is fenced"))}
		for range 4 {
			journal.delays = append(journal.delays, time.Duration(rapid.IntRange(0, 8).Draw(rt, "ms of an answer"))*time.Millisecond)
		}
		journal.log.Apply(registry.SubmissionRecord(sub))
		host, clock := &endingHost{}, boottime.Clock{}
		ow := New(Options{
			Self: registry.Ownership{Token: 2}, Clock: clock, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler), Desired: func() *cell.Desired { return nil },
			HostClient: host, EarlierOwnersGone: func() bool { return true }, Journal: journal, ClaimSent: clock.Now(), ClaimedAt: clock.Now(), RetentionPeriod: time.Minute,
		})
		ow.scheduler.Add(sub, cell.Progress{}, false, clock.Now(), 0)
		ended, end := context.WithCancel(context.Background())
		end()
		spec := testHost("h", "a")
		ow.SetHosts(ended, map[string]registry.Host{"h": {Spec: spec}}, []cell.Host{spec})
		ow.goroutines.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		ow.runGuarded(func() { ow.persist(ctx) })
		defer func() { cancel(); ow.goroutines.Wait() }()
		for number := 0; number < tasks; {
			for range min(rapid.IntRange(1, 1+tasks/3).Draw(rt, "ends"), tasks-number) {
				host.ended = append(host.ended, cell.Ended{Number: int64(number + 1), Task: cell.TaskID{Submission: "x", Index: number}, Run: 1, Outcome: cell.OutcomeDone})
				number++
			}
			for range rapid.IntRange(1, 2).Draw(rt, "polls") {
				pollCtx, cancelPoll := context.WithTimeout(ctx, 15*time.Millisecond)
				ow.poll(pollCtx, ow.poller("h"), ow.options.Clock.Now())
				cancelPoll()
			}
		}
		journal.mu.Lock()
		defer journal.mu.Unlock()
		next := New(Options{
			Self: registry.Ownership{Token: 3}, Clock: clock, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler), Desired: func() *cell.Desired { return nil },
			EarlierOwnersGone: func() bool { return true }, Stored: journal.log.All,
		})
		next.load()
		if done := tasks + 1 - next.scheduler.TasksLeft("x"); int64(done) < host.acknowledged {
			rt.Fatalf("%d ends are acknowledged, and the successor knows %d", host.acknowledged, done)
		}
	})
}
