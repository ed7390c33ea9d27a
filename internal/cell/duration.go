package cell

import (
	"math"
	"time"
)

// MaxDuration bounds durations that come from other writers, so that sums and multiples
// of a few of them do not overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// ClampDuration returns d, bounded to MaxDuration in both directions.
func ClampDuration(d time.Duration) time.Duration { return min(max(d, -MaxDuration), MaxDuration) }

// ScaleDuration returns d times f, bounded to MaxDuration in both directions.
func ScaleDuration(d time.Duration, f float64) time.Duration {
	v := float64(d) * f
	switch {
	case v >= float64(MaxDuration):
		return MaxDuration
	case v <= -float64(MaxDuration):
		return -MaxDuration
	default:
		return time.Duration(v)
	}
}

// TimeAfter returns start plus n times interval. It is the latest or the earliest time
// that a time.Duration holds if the result is beyond that.
func TimeAfter(start, interval time.Duration, n int) time.Duration {
	product := interval * time.Duration(n)
	if interval != 0 && (product/interval != time.Duration(n) || n == -1 && interval == math.MinInt64) {
		return extreme((interval > 0) == (n > 0))
	}
	sum := start + product
	if product > 0 && sum < start || product < 0 && sum > start {
		return extreme(product > 0)
	}
	return sum
}

func extreme(latest bool) time.Duration {
	if latest {
		return math.MaxInt64
	}
	return math.MinInt64
}
