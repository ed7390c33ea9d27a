package runtimes

import (
	"math"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows and windowSize bound the samples of a distribution: it holds the last 128 to
	// 192 ones. A change moves the median after about 100 runs, and the 99 % quantile still
	// rests on more than one sample.
	windows    = 3
	windowSize = 64
	// maxValue is the largest value that is told from larger ones: 24 h in ms.
	maxValue = 24 * 60 * 60 * 1000
	// significantDigits keeps a histogram at about 3 KiB; values are within 6 %.
	significantDigits = 1
	// bucketBits is to how many binary digits a histogram with significantDigits rounds.
	bucketBits = 5
	// goldenRatio steps through the fractions between 0 and 1 evenly.
	goldenRatio = 0.6180339887498949
)

// distribution holds the newest samples of one measure and their quantiles.
type distribution struct {
	window *hdr.WindowedHistogram
	// current is the number of samples in the current window.
	current int
	// quantiles are those of the samples, and samples their number, unless stale is set.
	quantiles table
	samples   int
	stale     bool
	// spread is the next fraction at which a censored run is assumed to have ended.
	spread float64
}

func newDistribution() distribution {
	return distribution{window: hdr.NewWindowed(windows, 1, maxValue, significantDigits)}
}

func (d *distribution) record(value float64) {
	if d.current >= windowSize {
		d.window.Rotate()
		d.current = 0
	}
	_ = d.window.Current.RecordValue(clampValue(value)) // clamped values are in range
	d.current++
	d.stale = true
}

// exceedsSome reports whether enough of the runs are shorter than a value for it to say
// something as a lower bound: nearly every run exceeds a small value.
func (d *distribution) exceedsSome(value float64) bool {
	const leastFraction = 0.02
	return d.table().below(value) >= leastFraction
}

// recordCensored records a run of which it is known that it would have exceeded a value. It
// counts as one of the runs that exceeded it. A value that says nothing is left out.
func (d *distribution) recordCensored(value float64) {
	if !d.exceedsSome(value) {
		return
	}
	t := d.table()
	below := t.below(value)
	d.spread = math.Mod(d.spread+goldenRatio, 1)
	d.record(max(t.at(below+d.spread*(1-below)), value))
}

// table returns the quantiles of the samples.
func (d *distribution) table() *table {
	if d.stale {
		merged := d.window.Merge()
		d.quantiles.fill(merged)
		d.samples, d.stale = int(merged.TotalCount()), false
	}
	return &d.quantiles
}

func clampValue(value float64) int64 {
	if !(value > 1) { // also if it is not a number
		return 1
	}
	return int64(min(math.Round(value), maxValue))
}
