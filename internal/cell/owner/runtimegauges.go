package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// runTimeGauges show what is learned about run times: for how many keys, from how many runs,
// how many keys were evicted, and the mean errors of the expected median and of the estimates, as logarithms of ratios.
type runTimeGauges struct {
	keys, samples, evicted, medianError, estimateError tally.Gauge
}

func newRunTimeGauges(s tally.Scope) runTimeGauges {
	return runTimeGauges{keys: s.Gauge("run_time_keys"), samples: s.Gauge("run_time_samples"), evicted: s.Gauge("run_time_evicted_keys"), medianError: s.Gauge("run_time_error"), estimateError: s.Gauge("run_time_estimate_error")}
}

func (g *runTimeGauges) set(t runtimes.Totals) {
	g.keys.Update(float64(t.Keys))
	g.samples.Update(float64(t.Samples))
	g.evicted.Update(float64(t.Evicted))
	g.medianError.Update(t.Error)
	g.estimateError.Update(t.EstimateError)
}
