package logsvc

import "time"

// Faults are the faults that the log service simulates. The zero value means none.
type Faults struct {
	// Unavailable makes every append and read fail, with status 503 over HTTP.
	Unavailable bool `json:"away"`
	// Unresponsive makes the service hold every call without a response until the
	// caller cancels it or the faults change.
	Unresponsive bool `json:"silent"`
	// Delay is the time by which every call is delayed.
	Delay time.Duration `json:"delay_nanos"`
	// LoseResponses is the number of coming appends that take effect without a
	// response; each one decrements it. A negative number means all appends.
	LoseResponses int `json:"lose_answers"`
	// Retention is the number of newest records that readers can get; zero
	// means all.
	Retention int `json:"retention"`
	// AppendsPerSecond is the rate limit of appends. Appends above it are
	// refused, with status 429 over HTTP. Zero means DefaultAppendsPerSecond.
	AppendsPerSecond int `json:"appends_per_second"`
}
