package worklog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/platform"
)

// oddStore answers reads as the test says and counts them.
type oddStore struct {
	Store
	newest, reads atomic.Int64
	newestPage    func(after string) (platform.Page, bool)
	readPage      platform.Page
}

func (s *oddStore) Newest(_ context.Context, _, after string) (platform.Page, bool, error) {
	s.newest.Add(1)
	p, more := s.newestPage(after)
	return p, more, nil
}

func (s *oddStore) Read(context.Context, string, uint64, time.Duration) (platform.Page, error) {
	s.reads.Add(1)
	return s.readPage, nil
}

func runOddReader(t *testing.T, s *oddStore, d time.Duration) *TopicReader {
	f := NewTopicReader(s, boottime.Clock{}, slog.New(slog.DiscardHandler), Options{Topic: topicName, Wait: 20 * time.Millisecond, Meter: latency.New()}, func(Page) {})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.Run(ctx)
	return f
}

// Guards against a reader that fills the memory of its process, since the pages of the
// newest records never end: their last key is empty, or is not the one that the store
// sorts by.
func TestReaderEndsPagesThatRepeat(t *testing.T) {
	for name, key := range map[string]string{"empty key": "", "replaced bytes": "\uFFFD"} {
		s := &oddStore{newestPage: func(string) (platform.Page, bool) {
			return platform.Page{End: 1, Records: []platform.Record{{Key: key, Value: []byte("1")}}}, true
		}}
		f := runOddReader(t, s, 300*time.Millisecond)
		if n := s.newest.Load(); n > 20 {
			t.Errorf("%s: %d requests in 0.3 s", name, n)
		}
		if !f.Failing() {
			t.Errorf("%s: the read of an incomplete state counts as successful", name)
		}
	}
}

// Guards against a reader that sends reads without a pause while the store names records
// that it does not return.
func TestReaderPausesWithoutRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &oddStore{
		newestPage: func(string) (platform.Page, bool) { return platform.Page{End: 1}, false },
		readPage:   platform.Page{End: 1 << 63},
	}
	f := runOddReader(t, s, 300*time.Millisecond)
	g.Expect(s.reads.Load()).To(gomega.BeNumerically("<", 20))
	g.Expect(f.Failing()).To(gomega.BeTrue())
}
