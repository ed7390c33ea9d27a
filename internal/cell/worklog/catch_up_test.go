package worklog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/platform"
)

// expiredStore is a store of a topic whose first records have expired. Reads by offset of the
// reader's Run wait for released, and so does the answer with the newest records.
type expiredStore struct {
	Store
	first, end      uint64
	newest, release chan struct{}
}

// ofRun is the key of a context value that reads by Run have, unlike those for CatchUp.
type ofRun struct{}

func (s *expiredStore) Newest(context.Context, string, string) (platform.Page, bool, error) {
	<-s.newest
	return platform.Page{End: s.first, Records: []platform.Record{{Key: "old", Value: []byte("1")}}}, false, nil
}

func (s *expiredStore) Read(ctx context.Context, _ string, from uint64, _ time.Duration) (platform.Page, error) {
	if from < s.first {
		return platform.Page{}, &platform.TrimmedError{First: s.first}
	}
	if ctx.Value(ofRun{}) != nil {
		select {
		case <-s.release:
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
	p := platform.Page{End: s.end}
	for offset := from; offset < s.end; offset++ {
		p.Records = append(p.Records, platform.Record{Offset: offset, Key: "new", Value: []byte("1")})
	}
	return p, nil
}

// Guards against a 410 for work that was accepted while a process that has just started read the
// newest records: it took the first offset that was left for the end of the topic, and so did not
// wait for the records from there on.
func TestCatchUpWaitsForTheEndOfATopicThatHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &expiredStore{first: 100, end: 150, newest: make(chan struct{}), release: make(chan struct{})}
		var applied atomic.Int64 // Run goes on after CatchUp has returned
		r := NewTopicReader(s, steadyClock{time.Now()}, slog.New(slog.DiscardHandler), Options{Topic: topicName, Meter: latency.New()}, func(p Page) { applied.Add(int64(len(p.Records))) })
		ctx, cancel := context.WithCancel(context.WithValue(t.Context(), ofRun{}, true))
		defer cancel()
		go r.Run(ctx)
		done := make(chan error, 1)
		go func() { done <- r.CatchUp(t.Context()) }()
		synctest.Wait()
		close(s.newest)
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("CatchUp returns %v after %d records, although 50 more were stored before the call", err, applied.Load())
		default:
		}
		close(s.release)
		if err := <-done; err != nil || applied.Load() != 51 {
			t.Errorf("CatchUp returns %v after %d records, want 51", err, applied.Load())
		}
		cancel()
	})
}

// Guards against reads without an end at a store that names an offset as retained and answers
// that it has expired.
func TestCatchUpEndsAtAStoreThatContradictsItself(t *testing.T) {
	s := &oddStore{newestPage: func(string) (platform.Page, bool) { return platform.Page{}, false }}
	r := NewTopicReader(contradictingStore{s}, steadyClock{time.Now()}, slog.New(slog.DiscardHandler), Options{Topic: topicName, Meter: latency.New()}, func(Page) {})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := r.CatchUp(ctx); err == nil || ctx.Err() != nil {
		t.Errorf("CatchUp ends with %v", err)
	}
	if n := s.reads.Load(); n > 2 {
		t.Errorf("%d reads", n)
	}
}

// contradictingStore answers each read that records up to offset 100 have expired.
type contradictingStore struct{ *oddStore }

func (s contradictingStore) Read(context.Context, string, uint64, time.Duration) (platform.Page, error) {
	s.reads.Add(1)
	return platform.Page{}, &platform.TrimmedError{First: 100}
}
