package runtimes

import (
	"fmt"
	"math"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// maxQueueName bounds the name of a queue in a snapshot.
const maxQueueName = 1024

// keySnapshot is the stored form of what is known for one key.
type keySnapshot struct {
	Queue          string    `json:"queue"`
	Step           int       `json:"step"`
	Observed       int64     `json:"observed"`
	ObservedRatios int64     `json:"observed_ratios"`
	ByRatio        bool      `json:"by_ratio,omitempty"`
	Time           predictor `json:"time"`
	Ratio          predictor `json:"ratio"`
	MedianError    float64   `json:"median_error"`
	EstimateError  float64   `json:"estimate_error"`
	// Times and Ratios hold the values of a histogram, each followed by its count.
	Times  []int64 `json:"times"`
	Ratios []int64 `json:"ratios,omitempty"`
}

func snapshotOf(k Key, l *learned) keySnapshot {
	return keySnapshot{
		Queue: k.Queue, Step: k.Step, Observed: l.observed, ObservedRatios: l.observedRatios, ByRatio: l.byRatio, Time: l.timePredictor, Ratio: l.ratioPredictor,
		MedianError: l.medianError, EstimateError: l.estimateError, Times: l.times.values(), Ratios: l.ratios.values(),
	}
}

// values returns the values of the samples, each followed by its count.
func (d *distribution) values() (list []int64) {
	for _, bar := range d.window.Merge().Distribution() {
		if bar.Count > 0 {
			list = append(list, max(bar.From, 1), bar.Count)
		}
	}
	return list
}

// learned returns what a snapshot holds, or an error if it is malformed.
func (k *keySnapshot) learned() (*learned, error) {
	if err := k.check(); err != nil {
		return nil, err
	}
	l := newLearned()
	if err := l.times.restore(k.object(), "times", k.Times); err != nil {
		return nil, err
	}
	if err := l.ratios.restore(k.object(), "ratios", k.Ratios); err != nil {
		return nil, err
	}
	// More runs than the histograms hold would make the quantiles count as better founded.
	l.times.table()
	l.ratios.table()
	l.observed, l.observedRatios = min(k.Observed, int64(l.times.samples)), min(k.ObservedRatios, int64(l.ratios.samples))
	l.timePredictor, l.ratioPredictor = k.Time, k.Ratio
	l.medianError, l.estimateError = k.MedianError, k.EstimateError
	l.medianErrors, l.estimateErrors = l.observed, l.observedRatios
	l.byRatio = k.ByRatio && l.observedRatios >= minSamples
	return l, nil
}

func (k *keySnapshot) object() string {
	return fmt.Sprintf("the run times of queue %s, step %d", cell.Quote(k.Queue), k.Step)
}

// check returns an error if a number is out of its range.
func (k *keySnapshot) check() error {
	if len(k.Queue) > maxQueueName {
		return cell.NewFieldError("the snapshot of run times", "queue", len(k.Queue), fmt.Sprintf("a name of at most %d bytes", maxQueueName))
	}
	if k.Step < 0 {
		return cell.NewFieldError(k.object(), "step", k.Step, "0 or more")
	}
	if k.Observed < 0 || k.ObservedRatios < 0 {
		return cell.NewFieldError(k.object(), "observed", min(k.Observed, k.ObservedRatios), "0 or more")
	}
	for name, v := range map[string]float64{"time.mean": k.Time.Mean, "ratio.mean": k.Ratio.Mean} {
		if math.Abs(v) > maxLogMean {
			return cell.NewFieldError(k.object(), name, v, fmt.Sprintf("%d to %d", -maxLogMean, maxLogMean))
		}
	}
	for name, v := range map[string]float64{"time.error": k.Time.Error, "ratio.error": k.Ratio.Error, "median_error": k.MedianError, "estimate_error": k.EstimateError} {
		if v < 0 || v > maxLogError {
			return cell.NewFieldError(k.object(), name, v, fmt.Sprintf("0 to %g", maxLogError))
		}
	}
	return nil
}

// maxLogMean bounds the mean logarithm of a duration in nanoseconds or of a ratio.
const maxLogMean = 100

// restore takes over values, each followed by its count. They are spread over the windows as
// if they had come in any order, so that all lose weight alike.
func (d *distribution) restore(object, field string, list []int64) error {
	const most = windows * windowSize
	if len(list)%2 != 0 || len(list) > 2*most {
		return cell.NewFieldError(object, field, len(list), fmt.Sprintf("pairs of a value and a count, at most %d", most))
	}
	var samples []float64
	for i := 0; i < len(list); i += 2 {
		value, count := list[i], list[i+1]
		if value < 1 || value > maxValue || count < 1 || count > most || len(samples)+int(count) > most {
			return cell.NewFieldError(object, field, fmt.Sprintf("%d, %d", value, count), fmt.Sprintf("values of 1 to %d and counts of %d in all", maxValue, most))
		}
		for range count {
			samples = append(samples, float64(value))
		}
	}
	for w := range windows {
		d.window.Rotate()
		d.current = 0
		for i := w; i < len(samples); i += windows {
			d.record(samples[i])
		}
	}
	return nil
}
