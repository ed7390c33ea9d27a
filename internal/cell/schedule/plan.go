package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Start is an order to start a run.
type Start struct {
	Task       cell.TaskID
	Run        int64
	Host       string
	Spec       string
	Checkpoint string
	Ticket     string
	// Gang is set for a member of a gang.
	Gang bool
	// Waited is how long the task has waited since it became ready, or ready
	// again after its last run.
	Waited time.Duration
}

// SameGang reports whether both orders are for members of one gang.
func (o Start) SameGang(other Start) bool {
	return o.Gang && other.Gang && o.Run == other.Run && o.Task.Group() == other.Task.Group()
}

// Stop is an order to stop a run.
type Stop struct {
	Task   cell.TaskID
	Run    int64
	Host   string
	Reason string
}

// AdviceRequest is a request to the advice service.
type AdviceRequest struct {
	Group cell.GroupID
	Hosts []string
	// Duration is how long the service takes to answer.
	Duration time.Duration
	// Priority is that of the queue; 0 comes first.
	Priority int
	Validity time.Duration
}

// Plan holds the orders to carry out next.
type Plan struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
}

// AwaitsStart reports whether a start order that was planned is still to be sent: its run
// has been neither given up nor ordered to stop meanwhile.
func (s *Scheduler) AwaitsStart(o Start) bool {
	a := s.findRun(o.Host, o.Task, o.Run)
	return a != nil && a.phase == phaseStarting
}
