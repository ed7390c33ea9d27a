package requests

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of requests.
type metrics struct {
	ends          map[string]tally.Counter
	other         tally.Counter
	retries       tally.Counter
	aborted       tally.Counter
	duration      tally.Histogram
	queueDuration tally.Histogram
	scope         tally.Scope
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("requests")
	buckets := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 20)
	m := &metrics{
		ends: map[string]tally.Counter{}, scope: scope,
		retries: scope.Counter("retries"), aborted: scope.Counter("aborted"),
		duration: scope.Histogram("duration", buckets), queueDuration: scope.Histogram("queued", buckets),
		other: scope.Tagged(map[string]string{"code": "other"}).Counter("ends"),
	}
	m.ends[CodeResponseForwarded] = scope.Tagged(map[string]string{"code": CodeResponseForwarded}).Counter("ends")
	for code := range statusByCode {
		m.ends[code] = scope.Tagged(map[string]string{"code": code}).Counter("ends")
	}
	return m
}

func (m *metrics) countEnd(code string) {
	if c, ok := m.ends[code]; ok {
		c.Inc(1)
		return
	}
	m.other.Inc(1)
}
