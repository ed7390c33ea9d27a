package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// maxLatency is the upper bound of the histogram; longer latencies count as
// maxLatency.
const maxLatency = 10 * time.Minute

// recorder counts the outcomes and records the latencies of one kind of
// operation.
type recorder struct {
	mu        sync.Mutex
	kind      string
	planned   int
	notSent   int
	ok        int
	failures  map[string]int
	histogram *hdrhistogram.Histogram
}

func newRecorder(kind string, planned int) *recorder {
	return &recorder{kind: kind, planned: planned, failures: map[string]int{}, histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

func (r *recorder) add(latency time.Duration, ok bool, v verdict.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.ok++
	} else {
		r.failures[v.String()]++
	}
	// The value is in range, so there is no error.
	_ = r.histogram.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

func (r *recorder) report() KindReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	failures := make(map[string]int, len(r.failures))
	for v, n := range r.failures {
		failures[v] = n
	}
	return KindReport{
		Kind: r.kind, Planned: r.planned, NotSent: r.notSent, OK: r.ok, Failures: failures,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(r.histogram.Max()) / 1000,
	}
}
