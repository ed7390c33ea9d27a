// Package load is an open-loop load generator. The seed and the rate determine
// the schedule; it must never wait for responses.
package load

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a run. Rate is in operations per second.
type Options struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	// JobPercent of the operations submit jobs; the others are requests.
	JobPercent           int
	NonIdempotentPercent int
	UrgentPercent        int
	Queue, Team          string
	Upstream, Path       string
	Deadline             time.Duration
	// InFlight is the largest number of operations in flight.
	InFlight int
}

const (
	// MaxOperations is the largest number of operations in a schedule.
	MaxOperations = 10_000_000
	maxInFlight   = 100_000
)

// Check returns an error for the first invalid option.
func (o Options) Check() error {
	percent := func(p int) bool { return p >= 0 && p <= 100 }
	switch {
	case !(o.Rate > 0) || o.Duration <= 0 || o.Rate*o.Duration.Seconds() > MaxOperations:
		return eris.Errorf("rate and duration must be above 0 and give at most %d operations", MaxOperations)
	case !percent(o.JobPercent) || !percent(o.NonIdempotentPercent) || !percent(o.UrgentPercent):
		return eris.New("percentages must be 0 to 100")
	case o.JobPercent > 0 && o.Queue == "":
		return eris.New("jobs need --queue; use --jobs 0 for requests only")
	case o.JobPercent < 100 && o.Upstream == "":
		return eris.New("requests need --upstream; use --jobs 100 for jobs only")
	case o.InFlight < 1 || o.InFlight > maxInFlight:
		return eris.Errorf("in-flight must be 1 to %d", maxInFlight)
	case o.Deadline <= 0:
		return eris.New("the deadline must be above 0")
	}
	return nil
}
