package cell

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Check returns a *FieldError if the steps of the submission cannot be scheduled: their
// number, their tasks or their dependencies are out of range. It names the fields as
// they are stored.
func (s *Submission) Check() error {
	object := "submission " + Quote(s.ID)
	if s.Finished {
		return nil // a summary has no steps
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return NewFieldError(object, "steps", fmt.Sprintf("%d steps", len(s.Steps)), fmt.Sprintf("1 to %d steps", MaxSteps))
	}
	if s.Occurrences < 0 || s.Occurrences > MaxTasks {
		return NewFieldError(object, "occurrences", s.Occurrences, fmt.Sprintf("0 to %d", MaxTasks))
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(object, i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count * s.OccurrenceCount()
	}
	if tasks > MaxTasks {
		return NewFieldError(object, "steps", fmt.Sprintf("%d tasks", tasks), fmt.Sprintf("at most %d tasks", MaxTasks))
	}
	return nil
}

func (s *Step) check(object string, number int) error {
	field := fmt.Sprintf("steps[%d].", number)
	if s.Count < 1 || s.Count > MaxTasks {
		return NewFieldError(object, field+"count", s.Count, fmt.Sprintf("1 to %d", MaxTasks))
	}
	if s.Size.IsNegative() {
		return NewFieldError(object, field+"size", s.Size, "0 or more")
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return NewFieldError(object, field+"after", a, "the number of an earlier step")
		}
	}
	return nil
}

// Clamp bounds the amounts and durations of a submission that was accepted without these
// bounds, so that sums over its tasks do not overflow.
func (s *Submission) Clamp() {
	s.Interval = ClampDuration(s.Interval)
	s.Queue.Clamp()
	for i := range s.Steps {
		step := &s.Steps[i]
		step.Size = ClampAmounts(step.Size)
		step.Estimate, step.LatencyTarget = ClampDuration(step.Estimate), ClampDuration(step.LatencyTarget)
	}
}

// Clamp bounds the durations of a queue.
func (q *Queue) Clamp() {
	q.Latency, q.Timeout = ClampDuration(q.Latency), ClampDuration(q.Timeout)
	if p := q.Advice; p != nil {
		p.Decision, p.PerHost, p.Validity = ClampDuration(p.Decision), ClampDuration(p.PerHost), ClampDuration(p.Validity)
	}
}

// ClampAmounts bounds amounts of resources to 0 to MaxAmount.
func ClampAmounts(v resource.Vector) resource.Vector {
	clamp := func(n int64) int64 { return min(max(n, 0), MaxAmount) }
	return resource.Vector{MilliCPU: clamp(v.MilliCPU), MemoryMiB: clamp(v.MemoryMiB), Accelerators: clamp(v.Accelerators)}
}
