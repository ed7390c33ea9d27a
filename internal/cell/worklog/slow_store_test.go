package worklog

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// fakeStore holds appends until the test answers them.
type fakeStore struct {
	Store
	appends chan fakeAppend
}

type fakeAppend struct {
	records []platform.Record
	answer  chan error
}

func (s *fakeStore) Append(ctx context.Context, _ string, _ platform.Producer, records []platform.Record) (uint64, error) {
	a := fakeAppend{records, make(chan error, 1)}
	s.appends <- a
	select {
	case err := <-a.answer:
		return 0, err
	case <-ctx.Done():
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, "no-answer")
	}
}

func newFakeTarget() (*fakeStore, Target) {
	s := &fakeStore{appends: make(chan fakeAppend, 100)}
	return s, Target{
		Store: s, Clock: boottime.Clock{}, Meter: latency.New(), Log: slog.New(slog.DiscardHandler), Topic: topicName,
		Mark: func(p platform.Producer) platform.Record {
			return platform.Record{Key: "mark", Value: []byte{byte(p.Epoch), byte(p.Seq)}}
		},
	}
}

// Guards against a store that is only slow and gets each append several times, each
// of which takes a turn in its queue, and against an append that is not repeated
// although its answer is lost. The store may become slow while it holds the append.
func TestTimeoutFollowsSpeedOfStore(t *testing.T) {
	for _, c := range []struct{ answer, want time.Duration }{
		{4 * time.Millisecond, minAppendTimeout},
		{300 * time.Millisecond, 1800 * time.Millisecond},
		{time.Minute, maxAppendTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			store, target := newFakeTarget()
			target.Clock = steadyClock{time.Now()}
			a := NewAppender(target, "n")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go a.Run(ctx)
			go func() { _ = a.Append(ctx, platform.Record{Key: "x"}) }()
			<-store.appends
			sent := time.Now()
			target.Meter.Observe(c.answer)
			<-store.appends
			if got := time.Since(sent); got < c.want || got > c.want+2*appendRetryInterval {
				t.Errorf("repeated after %s at answers of %s, want %s", got, c.answer, c.want)
			}
		})
	}
}

// steadyClock is a cell.Clock that follows the clock of a synctest bubble.
type steadyClock struct{ start time.Time }

func (c steadyClock) Now() time.Duration { return time.Since(c.start) }

// Guards against a caller who waits for an answer that was lost, although the record
// has been read from the topic, and against one who is told that a record is stored
// when only another append has been read.
func TestReadConfirmsAppend(t *testing.T) {
	store, target := newFakeTarget()
	a := NewAppender(target, "n")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx)
	done := make(chan error, 1)
	go func() { done <- a.Append(ctx, platform.Record{Key: "x", Value: []byte("1")}) }()
	first := <-store.appends
	a.Observe([]platform.Record{first.records[0], {Key: "mark", Value: []byte{1, 9}}})
	select {
	case err := <-done:
		t.Fatalf("the append ended with %v before its mark was read", err)
	default:
	}
	a.Observe(first.records)
	if err := <-done; err != nil {
		t.Errorf("the append ended with %v", err)
	}
	go func() { done <- a.Append(ctx, platform.Record{Key: "y"}) }()
	second := <-store.appends
	if m := second.records[1]; m.Value[1] != first.records[1].Value[1]+1 {
		t.Errorf("the next append has the mark %v after %v", m.Value, first.records[1].Value)
	}
	second.answer <- nil
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a slow store from which each waiting caller reads the end of the
// topic over a connection of its own.
func TestReadsOfEndAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		reads := 0
		e := &endReads{}
		e.read = func(context.Context) (uint64, error) {
			reads++
			<-release
			return uint64(reads), nil
		}
		wait := func(want uint64) {
			if end, err := e.wait(context.Background()); err != nil || end != want {
				t.Errorf("end %d, %v; want %d, of a read sent after the call", end, err, want)
			}
		}
		go wait(1)
		synctest.Wait()
		for range 20 {
			go wait(2)
		}
		synctest.Wait()
		release <- struct{}{}
		synctest.Wait()
		release <- struct{}{}
		synctest.Wait()
		if reads != 2 {
			t.Errorf("%d reads for 21 callers, want 2", reads)
		}
	})
}
