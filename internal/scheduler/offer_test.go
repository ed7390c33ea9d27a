package scheduler

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// offers advances the clock and returns the offers of Decide.
func (s *testShard) offers(d time.Duration) (out []OfferTasks) {
	s.now += d
	for _, a := range s.Decide(s.now) {
		if o, ok := a.(OfferTasks); ok {
			out = append(out, o)
		}
	}
	return out
}

// Guards against an offer that does not tell tasks that wait only for their limit
// from tasks that no host has room for.
func TestOfferNamesTheLimit(t *testing.T) {
	s := newShard(1, Options{OfferDelay: time.Second, OfferInterval: time.Second})
	s.apply(AllotmentsChanged{Units: map[string]int64{"a": 4, "b": 100}})
	s.job("limited", "a", work.Batch, work.Normal, 1, 8, true)
	s.offers(0)
	if got := s.offers(time.Second); len(got) != 1 || got[0].Limit != "a" || got[0].LimitUnits != 8 {
		t.Errorf("a task that waits for units: %+v", got)
	}
	s.host(0, HostUnreachable)
	if got := s.offers(time.Second); len(got) != 1 || got[0].Limit != "" {
		t.Errorf("a task that waits for a host as well: %+v", got)
	}
}
