package runtimes

import "math"

const (
	// errorWindow is over how many runs errors are averaged.
	errorWindow = 64
	// maxLogError bounds the error of one run, as the logarithm of a ratio, so that one hung
	// run does not decide which measure is used.
	maxLogError = 2.0
)

// predictor tells how well a mean of past logarithms predicts the next one.
type predictor struct {
	Mean  float64 `json:"mean"`
	Error float64 `json:"error"`
}

// add adds the n-th value.
func (p *predictor) add(n int64, value float64) {
	if n <= 1 {
		p.Mean = value
		return
	}
	weight := max(1/float64(n), 1.0/errorWindow)
	off := min(max(value-p.Mean, -maxLogError), maxLogError)
	p.Mean += weight * off
	addError(&p.Error, n-1, off)
}

// addError adds the n-th error to a mean error.
func addError(mean *float64, n int64, off float64) {
	weight := max(1/float64(max(n, 1)), 1.0/errorWindow)
	*mean += weight * (min(math.Abs(off), maxLogError) - *mean)
}
