package node

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

const (
	// maxRecordedWait is the longest waiting time that is recorded; longer ones
	// count as this.
	maxRecordedWait = 24 * time.Hour
	// histogramDigits is the precision of the histograms, in significant decimal
	// digits.
	histogramDigits = 2
)

// waitHistograms records the waiting times of started tasks by class.
type waitHistograms struct {
	mu      sync.Mutex
	byClass map[string]*hdrhistogram.Histogram
}

func newWaitHistograms() *waitHistograms {
	return &waitHistograms{byClass: map[string]*hdrhistogram.Histogram{}}
}

// started records the waiting time of a confirmed start.
func (w *waitHistograms) started(s scheduler.StartTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := s.Class.String()
	h := w.byClass[name]
	if h == nil {
		h = hdrhistogram.New(1, maxRecordedWait.Microseconds(), histogramDigits)
		w.byClass[name] = h
	}
	_ = h.RecordValue(min(max(s.Waited.Microseconds(), 1), maxRecordedWait.Microseconds()))
}

// WaitSummary summarizes the waiting times of one class.
type WaitSummary struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_nanos"`
	P99   time.Duration `json:"p99_nanos"`
	P999  time.Duration `json:"p999_nanos"`
	Max   time.Duration `json:"max_nanos"`
}

// summary returns a summary of the waiting times of each class.
func (w *waitHistograms) summary() map[string]WaitSummary {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]WaitSummary{}
	for name, h := range w.byClass {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		out[name] = WaitSummary{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: time.Duration(h.Max()) * time.Microsecond}
	}
	return out
}
