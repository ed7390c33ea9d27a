// Package load is an open-loop load generator: the schedule is fixed by a seed
// and a rate, and does not wait for responses.
package load

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a run.
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
	// InFlight bounds the operations in flight.
	InFlight int
}

const (
	// MaxOperations bounds the schedule.
	MaxOperations = 10_000_000
	maxInFlight   = 100_000
)

// Check returns the first option at fault.
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
