package runtimes

import "time"

// Expectation holds quantiles of the expected duration of a run, or of the rest of one.
type Expectation struct {
	Median, P90, P99 time.Duration
	// Samples is the number of ended runs that the quantiles are derived from; zero if they
	// are the submitter's estimate.
	Samples int
}

// Exactly returns an expectation of which every quantile is d.
func Exactly(d time.Duration) Expectation { return Expectation{Median: d, P90: d, P99: d} }

// Times returns the expectation with every quantile multiplied by a factor.
func (e Expectation) Times(factor float64) Expectation {
	e.Median, e.P90, e.P99 = times(e.Median, factor), times(e.P90, factor), times(e.P99, factor)
	return e
}

func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxExpectation)))
}
