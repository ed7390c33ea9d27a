package runtimes

import (
	"math/bits"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// tableSteps is the number of equal steps between the quantiles in a table. With the windows
// of a distribution, one step is about five samples.
const tableSteps = 40

// tableFractions are the fractions of the runs that the values of a table stand for. The
// 99 % quantile is added to the equal steps.
var tableFractions = func() (f [tableSteps + 2]float64) {
	for i := range tableSteps {
		f[i] = float64(i) / tableSteps
	}
	f[tableSteps], f[tableSteps+1] = 0.99, 1
	return f
}()

var tablePercentiles = func() []float64 {
	p := make([]float64, len(tableFractions))
	for i, f := range tableFractions {
		p[i] = 100 * f
	}
	return p
}()

// table holds quantiles of a distribution, so that looking one up costs a fraction of a
// microsecond and allocates nothing.
type table [tableSteps + 2]float64

func (t *table) fill(h *hdr.Histogram) {
	for i, v := range h.ValueAtPercentilesSlice(tablePercentiles) {
		t[i] = middle(v)
	}
}

// middle returns the middle of the bucket of a histogram that ends with a value. The library
// returns the end, which would make every expectation up to 6 % too long.
func middle(end int64) float64 {
	width := int64(1) << max(bits.Len64(uint64(end))-bucketBits, 0)
	return float64(end) - float64(width-1)/2
}

// at returns the value that a fraction of the runs does not exceed.
func (t *table) at(fraction float64) float64 {
	i := 0
	switch {
	case fraction >= 1:
		return t[len(t)-1]
	case fraction >= 0.99:
		i = tableSteps
	case fraction > 0:
		i = min(int(fraction*tableSteps), tableSteps-1)
	}
	low, high := tableFractions[i], tableFractions[i+1]
	return t[i] + (t[i+1]-t[i])*max(fraction-low, 0)/(high-low)
}

// below returns the fraction of the runs that do not exceed a value.
func (t *table) below(value float64) float64 {
	if value < t[0] {
		return 0
	}
	low, high := 0, len(t)-1 // t[low] <= value
	if value >= t[high] {
		return 1
	}
	for high-low > 1 {
		if middle := (low + high) / 2; t[middle] <= value {
			low = middle
		} else {
			high = middle
		}
	}
	return tableFractions[low] + (tableFractions[high]-tableFractions[low])*(value-t[low])/(t[high]-t[low])
}
