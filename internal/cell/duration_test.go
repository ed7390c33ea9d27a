package cell

import (
	"math"
	"testing"
	"time"
)

// Guards against an occurrence that is due at once, since its due time overflows.
func TestDueDoesNotOverflow(t *testing.T) {
	for _, c := range []struct {
		first, interval time.Duration
		occurrence      int
		want            time.Duration
	}{
		{0, 0, 0, 0},
		{5, 7, 3, 26},
		{5, -7, 3, -16},
		{math.MaxInt64, 0, 9, math.MaxInt64},
		{math.MaxInt64, 1, 1, math.MaxInt64},
		{1, math.MaxInt64, 1, math.MaxInt64},
		{0, math.MaxInt64, 2, math.MaxInt64},
		{0, MaxDuration, 99_999, math.MaxInt64},
		{math.MaxInt64, math.MinInt64, 1, -1},
		{0, math.MinInt64, 2, math.MinInt64},
		{math.MinInt64, -1, 1, math.MinInt64},
	} {
		s := Submission{FirstDue: c.first, Interval: c.interval}
		if got := s.Due(c.occurrence); got != c.want {
			t.Errorf("first %d, interval %d, occurrence %d: due at %d, want %d", c.first, c.interval, c.occurrence, got, c.want)
		}
	}
}

// Guards against a call of the advice service whose duration overflows, so that it times
// out before it is sent.
func TestCallDurationDoesNotOverflow(t *testing.T) {
	for _, c := range []struct {
		decision, perHost time.Duration
		want              time.Duration
	}{
		{time.Second, time.Millisecond, 1100 * time.Millisecond},
		{0, MaxDuration, MaxDuration},
		{MaxDuration, MaxDuration, MaxDuration},
		{math.MaxInt64, math.MaxInt64, MaxDuration},
	} {
		if got := (AdvicePolicy{Decision: c.decision, PerHost: c.perHost}).CallDuration(100); got != c.want {
			t.Errorf("decision %v, per host %v: %v, want %v", c.decision, c.perHost, got, c.want)
		}
	}
}
