package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// maxLatency is the top of the histogram; longer latencies count as this.
const maxLatency = 10 * time.Minute

// record collects the ends of one kind of operation.
type record struct {
	mu        sync.Mutex
	kind      string
	planned   int
	notSent   int
	ok        int
	ends      map[string]int
	histogram *hdrhistogram.Histogram
}

func newRecord(kind string, planned int) *record {
	return &record{kind: kind, planned: planned, ends: map[string]int{}, histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (r *record) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

func (r *record) add(latency time.Duration, ok bool, v verdict.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.ok++
	} else {
		r.ends[v.String()]++
	}
	// The value is in range, so there is no error.
	_ = r.histogram.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

func (r *record) report() KindReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	ends := make(map[string]int, len(r.ends))
	for v, n := range r.ends {
		ends[v] = n
	}
	return KindReport{
		Kind: r.kind, Planned: r.planned, NotSent: r.notSent, OK: r.ok, Ends: ends,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(r.histogram.Max()) / 1000,
	}
}
