package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Filter decides whether a request may be placed on a host now.
type Filter interface {
	Admits(r *Request, h *Host) bool
}

// Score ranks the hosts that a Filter admits; the highest score wins.
type Score interface {
	Score(r *Request, h *Host) int64
}

// Reserve selects the running tasks that must end before a waiting request of size
// need fits on a host. free is the host's free capacity. The result holds indices
// into running and, as cost, the time until the last of them is expected to end.
// It is false if need does not fit even after all tasks have ended.
type Reserve interface {
	Drain(need, free resource.Vector, running []Running) (TaskSelection, bool)
}

// Preempt selects the running tasks to stop so that need fits on a host. Only tasks
// that are stoppable or already ending are selected. The cost is the work lost. It
// returns false if need does not fit.
type Preempt interface {
	Victims(need, free resource.Vector, running []Running) (TaskSelection, bool)
}
