package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Filter tells whether a host can take a request now.
type Filter interface {
	Admits(r *Request, h *Host) bool
}

// Score ranks the hosts that a Filter admits; the highest score wins.
type Score interface {
	Score(r *Request, h *Host) int64
}

// Reserve chooses the running tasks whose end a waiting request of the given
// size waits for. The result holds indices into running and the time until the
// last of them is expected to end.
type Reserve interface {
	Drain(need, free resource.Vector, running []Running) (Drain, bool)
}

// Preempt chooses the running tasks to stop so that need fits. Only tasks
// that may be stopped are considered.
type Preempt interface {
	Victims(need, free resource.Vector, running []Running) (Drain, bool)
}
