package logsvc

import "time"

// Faults are what the service does wrong. The zero value is a sound service.
type Faults struct {
	// Away makes the service refuse every call: 503 over HTTP.
	Away bool `json:"away"`
	// Silent makes the service hold every call until the caller gives up.
	Silent bool `json:"silent"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_nanos"`
	// LoseAnswers is the number of appends that take effect without an answer;
	// a negative number means all. It counts down.
	LoseAnswers int `json:"lose_answers"`
	// Retention is the number of records to keep; zero means all.
	Retention int `json:"retention"`
	// AppendsPerSecond is the rate above which appends are refused, 429 over
	// HTTP; zero means DefaultAppendsPerSecond.
	AppendsPerSecond int `json:"appends_per_second"`
}
