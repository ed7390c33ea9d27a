package requests

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the figures of the request path.
type metrics struct {
	ends    map[string]tally.Counter
	other   tally.Counter
	retries tally.Counter
	aborted tally.Counter
	took    tally.Histogram
	queued  tally.Histogram
	scope   tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("requests")
	buckets := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 20)
	m := &metrics{
		ends: map[string]tally.Counter{}, scope: scope,
		retries: scope.Counter("retries"), aborted: scope.Counter("aborted"),
		took: scope.Histogram("duration", buckets), queued: scope.Histogram("queued", buckets),
		other: scope.Tagged(map[string]string{"code": "other"}).Counter("ends"),
	}
	m.ends[CodeAnswer] = scope.Tagged(map[string]string{"code": CodeAnswer}).Counter("ends")
	for code := range statusOf {
		m.ends[code] = scope.Tagged(map[string]string{"code": code}).Counter("ends")
	}
	return m
}

func (m *metrics) end(code string) {
	if c, ok := m.ends[code]; ok {
		c.Inc(1)
		return
	}
	m.other.Inc(1)
}
