package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Event is something that happened outside the scheduler.
type Event interface{ isEvent() }

// HostState tells what a host can be used for.
type HostState uint8

const (
	// HostUnknown counts as full, because its tasks are not known.
	HostUnknown HostState = iota
	// HostReady takes tasks.
	HostReady
	// HostLeaving keeps its tasks for now and takes no new ones.
	HostLeaving
	// HostUnreachable takes no new tasks; its tasks may still run.
	HostUnreachable
)

var hostStateNames = [...]string{
	HostUnknown: "unknown", HostReady: "ready", HostLeaving: "leaving", HostUnreachable: "unreachable",
}

// String returns the name of s.
func (s HostState) String() string {
	if int(s) < len(hostStateNames) {
		return hostStateNames[s]
	}
	return "invalid"
}

// Host describes a worker host.
type Host struct {
	ID       string
	Zone     string
	Region   string
	Rack     string
	Capacity resource.Vector
	State    HostState
}

// HostChanged adds a host or changes it.
type HostChanged struct{ Host Host }

// HostAdopted reports everything that runs on a host. It replaces what the
// scheduler believed about the host.
type HostAdopted struct {
	Host    string
	Running []RunningTask
}

// RunningTask is one task of a HostAdopted event.
type RunningTask struct {
	Attempt work.AttemptID
	Size    resource.Vector
	Age     time.Duration
}

// HostGone reports that all leases on a host are provably over, or that it is
// empty and removed. Its tasks run no more; those without a reported end are lost.
type HostGone struct{ Host string }

// JobAdded adds a range of the tasks of a job to the shard.
type JobAdded struct {
	Job   work.Job
	First int32
	Count int32
	// Ended lists the tasks of the range whose outcome is known already.
	Ended map[int32]work.Outcome
	// Intended lists non-idempotent tasks whose start may have been sent before,
	// with the attempt number. They are never started again.
	Intended map[int32]int32
	// Attempts is the highest attempt number that may have been used so far.
	Attempts int32
	// Age is how long ago the job was accepted.
	Age time.Duration
	// Settled is set if no earlier attempt can run on a host that is not
	// adopted, so that nothing waits for unknown hosts.
	Settled bool
	// Spanning is set for a gang with parts in several shards. It starts only
	// by a HoldConfirmed, and Offset, the log offset of its acceptance, orders
	// such gangs in the same way in every shard.
	Spanning bool
	Offset   uint64
}

// HoldRequested asks for room for all waiting tasks of a spanning gang in this
// shard until a clock value. A hold ID sorts after the earlier ones of its job.
type HoldRequested struct {
	Hold  string
	Job   work.JobID
	Until time.Duration
}

// HoldReleased gives a hold back.
type HoldReleased struct {
	Hold string
	Job  work.JobID
}

// HoldConfirmed lets the tasks of a hold start, if the hold is not over.
type HoldConfirmed struct {
	Hold string
	Job  work.JobID
}

// GangKept tells that all parts of a spanning gang run.
type GangKept struct{ Job work.JobID }

// GangStopped tells that another part of a spanning gang does not run.
type GangStopped struct{ Job work.JobID }

// JobCancelled cancels all tasks of a job in this shard.
type JobCancelled struct{ Job work.JobID }

// TasksMoved takes a range of tasks that have not started out of the shard.
type TasksMoved struct {
	Job   work.JobID
	First int32
	Count int32
}

// TaskStarted reports that a worker accepted a start.
type TaskStarted struct {
	Attempt work.AttemptID
	Host    string
}

// TaskRefused reports that a start certainly did not happen.
type TaskRefused struct {
	Attempt work.AttemptID
	Host    string
	Reason  string
}

// TaskUnknown reports that a start was sent and no answer came. The task
// counts as running on the host until a report or the end of its lease.
type TaskUnknown struct {
	Attempt work.AttemptID
	Host    string
}

// TaskEnded reports the end of an attempt.
type TaskEnded struct {
	Attempt      work.AttemptID
	Host         string
	Outcome      work.Outcome
	Ran          time.Duration
	Peak         resource.Vector
	Checkpointed bool
}

// UsageReported reports the measured use of a host; it lags.
type UsageReported struct {
	Host  string
	Usage resource.Vector
}

// ContractChanged replaces the published contract.
type ContractChanged struct{ Contract Contract }

// AllotmentsChanged replaces what each limit allows in this shard, in the
// contract units of the limit. A limit that is missing allows nothing.
type AllotmentsChanged struct{ Units map[string]int64 }

// StartsPaused stops or resumes new starts. Non-idempotent starts can be
// paused alone, while their intents cannot be logged.
type StartsPaused struct {
	All           bool
	NonIdempotent bool
}

func (HostChanged) isEvent()       {}
func (HostAdopted) isEvent()       {}
func (HostGone) isEvent()          {}
func (JobAdded) isEvent()          {}
func (JobCancelled) isEvent()      {}
func (TasksMoved) isEvent()        {}
func (TaskStarted) isEvent()       {}
func (TaskRefused) isEvent()       {}
func (TaskUnknown) isEvent()       {}
func (TaskEnded) isEvent()         {}
func (UsageReported) isEvent()     {}
func (ContractChanged) isEvent()   {}
func (AllotmentsChanged) isEvent() {}
func (StartsPaused) isEvent()      {}
func (HoldRequested) isEvent()     {}
func (HoldReleased) isEvent()      {}
func (HoldConfirmed) isEvent()     {}
func (GangKept) isEvent()          {}
func (GangStopped) isEvent()       {}
