package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Operation is one planned operation.
type Operation struct {
	// At is the intended send time after the start of the run.
	At            time.Duration
	ID            string
	Job           bool
	NonIdempotent bool
	Urgent        bool
}

// schedule yields the operations of a run in order. Intervals are exponential,
// so that arrivals are independent of one another.
type schedule struct {
	o      Options
	random *rand.Rand
	prefix string
	at     float64
	n      int
}

func newSchedule(o Options, prefix string) *schedule {
	return &schedule{o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), prefix: prefix}
}

// next returns the next operation, and false after the last one.
func (s *schedule) next() (Operation, bool) {
	s.at += s.random.ExpFloat64() / s.o.Rate
	op := Operation{
		ID:            fmt.Sprintf("%s-%d", s.prefix, s.n),
		Job:           s.random.IntN(100) < s.o.JobPercent,
		NonIdempotent: s.random.IntN(100) < s.o.NonIdempotentPercent,
		Urgent:        s.random.IntN(100) < s.o.UrgentPercent,
	}
	if s.at >= s.o.Duration.Seconds() || s.n >= MaxOperations {
		return Operation{}, false
	}
	op.At = time.Duration(s.at * float64(time.Second))
	s.n++
	return op, true
}

// planned counts the operations of a run by kind.
func planned(o Options) (jobs, requests int) {
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
