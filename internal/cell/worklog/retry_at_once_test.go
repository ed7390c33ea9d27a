package worklog

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/platform"
)

// failingReads is a store that fails each second read of a topic without records, and
// otherwise answers when the read is to wait no longer.
type failingReads struct {
	Store
	waits, timeouts []time.Duration
}

func (s *failingReads) Newest(context.Context, string, string) (platform.Page, bool, error) {
	return platform.Page{}, false, nil
}

func (s *failingReads) Read(ctx context.Context, _ string, _ uint64, wait time.Duration) (platform.Page, error) {
	deadline, _ := ctx.Deadline()
	s.waits, s.timeouts = append(s.waits, wait), append(s.timeouts, time.Until(deadline))
	if len(s.waits)%2 == 0 {
		return platform.Page{}, errors.New("refused")
	}
	time.Sleep(wait)
	return platform.Page{}, nil
}

// Guards against a reader that after a failed read waits for a record again, so that it
// learns only much later that there is none; and against one that does so unasked.
func TestReadAfterAFailureDoesNotWait(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &failingReads{}
			o := Options{Topic: topicName, Wait: 500 * time.Millisecond, TimeoutMargin: 600 * time.Millisecond, Meter: latency.New(), RetryAtOnce: atOnce}
			r := NewTopicReader(store, steadyClock{time.Now().Add(-time.Hour)}, slog.New(slog.DiscardHandler), o, func(Page) {})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r.Run(ctx)
			// The first read, for what was stored meanwhile, never waits; the second one fails.
			want := o.Wait
			if atOnce {
				want = 0
			}
			if store.waits[1] != o.Wait || store.waits[2] != want || store.waits[3] != o.Wait {
				t.Errorf("at once %t: reads wait %v", atOnce, store.waits[:4])
			}
			if got := store.timeouts[2]; got != o.Wait+o.TimeoutMargin {
				t.Errorf("at once %t: the read after a failure has a time-out of %s", atOnce, got)
			}
		})
	}
}
