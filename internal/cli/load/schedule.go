package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Operation is one operation of the schedule: a job submission, or a request to
// an upstream.
type Operation struct {
	// At is the intended send time after the start of the run.
	At            time.Duration
	ID            string
	Job           bool
	NonIdempotent bool
	Urgent        bool
}

// schedule yields the operations of a run in order. The intervals between them
// are exponentially distributed, so that arrivals are independent (a Poisson
// process).
type schedule struct {
	options        Options
	random         *rand.Rand
	prefix         string
	elapsedSeconds float64
	count          int
}

func newSchedule(o Options, prefix string) *schedule {
	return &schedule{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), prefix: prefix}
}

// next returns the next operation, and false after the last one.
func (s *schedule) next() (Operation, bool) {
	s.elapsedSeconds += s.random.ExpFloat64() / s.options.Rate
	op := Operation{
		ID:            fmt.Sprintf("%s-%d", s.prefix, s.count),
		Job:           s.random.IntN(100) < s.options.JobPercent,
		NonIdempotent: s.random.IntN(100) < s.options.NonIdempotentPercent,
		Urgent:        s.random.IntN(100) < s.options.UrgentPercent,
	}
	if s.elapsedSeconds >= s.options.Duration.Seconds() || s.count >= MaxOperations {
		return Operation{}, false
	}
	op.At = time.Duration(s.elapsedSeconds * float64(time.Second))
	s.count++
	return op, true
}

// countPlanned returns the number of operations of a run by kind.
func countPlanned(o Options) (jobs, requests int) {
	s := newSchedule(o, "")
	for op, ok := s.next(); ok; op, ok = s.next() {
		if op.Job {
			jobs++
		} else {
			requests++
		}
	}
	return jobs, requests
}
