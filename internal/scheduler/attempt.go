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
	// current is set if this is the newest attempt of its task; other attempts
	// are counted until their end and their reports change nothing else.
	current bool
	state   TaskState
	started time.Duration
	// answered is set once the host reported the attempt; lost is set if the
	// answer to the start did not come.
	answered, lost bool
	// cost is in units of the limit of charged, the team it counts against.
	cost    int64
	charged *team
	// drains is the reservation that waits for the end of the attempt.
	drains *reservation
	// stops counts the stop requests sent; reason is that of the first.
	stops  int
	killed bool
	reason string
}

// ending reports whether a stop that ends the attempt was requested.
func (a *attempt) ending() bool { return a.stops > 0 }
