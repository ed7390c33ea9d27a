package node

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

const (
	// maxWait bounds the waiting times that are told apart.
	maxWait = 24 * time.Hour
	// waitDigits is the precision of the histograms, in decimal digits.
	waitDigits = 2
)

// waits measures the waiting time of started tasks by class.
type waits struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newWaits() *waits { return &waits{byName: map[string]*hdrhistogram.Histogram{}} }

// started records the waiting time of a confirmed start.
func (w *waits) started(s scheduler.StartTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := s.Class.String()
	h := w.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxWait.Microseconds(), waitDigits)
		w.byName[name] = h
	}
	_ = h.RecordValue(min(max(s.Waited.Microseconds(), 1), maxWait.Microseconds()))
}

// WaitSummary describes the waiting times of one class.
type WaitSummary struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_nanos"`
	P99   time.Duration `json:"p99_nanos"`
	P999  time.Duration `json:"p999_nanos"`
	Max   time.Duration `json:"max_nanos"`
}

// summary returns the waiting times by class.
func (w *waits) summary() map[string]WaitSummary {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]WaitSummary{}
	for name, h := range w.byName {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		out[name] = WaitSummary{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: time.Duration(h.Max()) * time.Microsecond}
	}
	return out
}
