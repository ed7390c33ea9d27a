package runtimes

// Entry describes what the model holds for one key, for operators.
type Entry struct {
	Queue string `json:"queue"`
	Step  int    `json:"step"`
	// Samples is the number of runs that the quantiles are derived from, Observed that of all
	// ended runs, Censored that of the runs of which only a lower bound was known, and
	// Dropped that of the runs left out since too many were of one host.
	Samples  int   `json:"samples"`
	Observed int64 `json:"observed"`
	Censored int64 `json:"censored"`
	Dropped  int64 `json:"dropped"`
	// ByRatio is set if the ratio to the estimate predicts better than the time itself.
	ByRatio bool `json:"by_ratio"`
	// The quantiles are those at normal speed: times in ms, or ratios to the estimate.
	MedianMs    float64 `json:"median_ms"`
	P90Ms       float64 `json:"p90_ms"`
	P99Ms       float64 `json:"p99_ms"`
	MedianRatio float64 `json:"median_ratio"`
	// Error is the mean error of the median that was expected before each run, as a natural
	// logarithm of the ratio, and EstimateError that of the estimate.
	Error         float64 `json:"error"`
	EstimateError float64 `json:"estimate_error"`
}
