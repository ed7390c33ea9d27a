package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// group is the tasks of one step in one occurrence.
type group struct {
	id    cell.GroupID
	job   *job
	step  *cell.Step
	size  resource.Vector
	tasks []*task
	// left counts the tasks that are not done, present those with an attempt and
	// waiting those that are not done and have none.
	left, present, waiting int
	// open is set once the turn of the tasks has come.
	open     bool
	openedAt time.Duration
	advice   advice
	// run is that of a gang that has been started, zero if none.
	run int64
	// breaking is set once a member of the gang has ended; the others end too.
	breaking bool
	// brokenAt is when that was learnt.
	brokenAt  time.Duration
	startedAt time.Duration
	// wait is why the group does not start; see waits.
	wait wait
}

// waitingTasks returns the tasks that are to be started.
func (g *group) waitingTasks() []*task {
	out := make([]*task, 0, g.waiting)
	for _, t := range g.tasks {
		if t.waiting() {
			out = append(out, t)
		}
	}
	return out
}

// on returns how many attempts of the group a host has.
func (g *group) on(h *host) (n int) {
	for _, t := range g.tasks {
		for _, a := range t.attempts {
			if a.host == h {
				n++
			}
		}
	}
	return n
}

// estimate returns how long a task is expected to take on a host.
func (g *group) estimate(h *host) time.Duration {
	d := g.step.Estimate
	if h != nil {
		d = time.Duration(float64(d) * max(h.health.slowness, 1))
	}
	return d
}

// urgent reports whether the group's submission came through a queue of the
// first priority.
func (g *group) urgent() bool { return g.job.urgent }
