package load

// Report is the result of a run.
type Report struct {
	Seed    uint64       `json:"seed"`
	Rate    float64      `json:"rate"`
	Seconds float64      `json:"seconds"`
	Kinds   []KindReport `json:"kinds"`
}

// KindReport is the result for one kind of operation. Latencies are in
// milliseconds from the intended send time, over successes and failures.
type KindReport struct {
	Kind    string `json:"kind"`
	Planned int    `json:"planned"`
	// NotSent counts the operations that were skipped because the limit of
	// operations in flight was reached when they were due.
	NotSent int `json:"not_sent"`
	OK      int `json:"ok"`
	// Failures counts the failed operations by verdict.
	Failures map[string]int `json:"failed"`
	P50      float64        `json:"p50_ms"`
	P90      float64        `json:"p90_ms"`
	P99      float64        `json:"p99_ms"`
	P999     float64        `json:"p999_ms"`
	Max      float64        `json:"max_ms"`
}
