package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// attempt is one attempt that runs, or may run, on a host.
type attempt struct {
	id   work.AttemptID
	job  *job
	task *task
	host *host
	size resource.Vector
	// current is set if this is the newest attempt of its task. Other attempts
	// are counted until their end, and their reports change nothing else.
	current bool
	state   TaskState
	started time.Duration
	// answered is set once the host reported the attempt; answerLost is set if
	// the start request got no answer.
	answered, answerLost bool
	// cost is in units of the limit of chargedTeam, the team that the attempt
	// counts against.
	cost        int64
	chargedTeam *team
	// drainedFor is the reservation that waits for the end of the attempt.
	drainedFor *reservation
	// stopRequests counts the stop requests sent; stopReason is that of the
	// first.
	stopRequests int
	killed       bool
	stopReason   string
}

// ending reports whether the attempt was asked to stop.
func (a *attempt) ending() bool { return a.stopRequests > 0 }
