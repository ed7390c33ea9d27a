package runtimes

// Key identifies tasks that are expected to take similar times: those of one step of the
// submissions to one queue.
type Key struct {
	Queue string
	Step  int
}
