package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Event is something that happened outside the scheduler.
type Event interface{ isEvent() }

// HostState is what a host can be used for.
type HostState uint8

const (
	// HostUnknown counts as full, because the tasks that run on it are not
	// known.
	HostUnknown HostState = iota
	// HostReady accepts tasks.
	HostReady
	// HostLeaving keeps its running tasks for now and accepts no new ones.
	HostLeaving
	// HostUnreachable accepts no new tasks; its tasks may still be running.
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

// HostAdopted reports everything that runs on a host. It replaces the
// scheduler's record of that host, which counts as adopted from then on.
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

// HostGone reports that every lease on a host has certainly expired, or that
// the host is empty and was removed. None of its tasks runs any more; those
// without a reported end are lost.
type HostGone struct{ Host string }

// JobAdded adds a range of the tasks of a job to the shard.
type JobAdded struct {
	Job   work.Job
	First int32
	Count int32
	// Ended holds the outcomes of the tasks of the range that are known
	// already.
	Ended map[int32]work.Outcome
	// Intended holds the non-idempotent tasks whose start request may have been
	// sent before, with the attempt number. They are never started again.
	Intended map[int32]int32
	// Attempts is the highest attempt number that may have been used so far.
	Attempts int32
	// Age is the minimum time since the job was accepted: the time since this
	// process read the acceptance, or 0 if it did not.
	Age time.Duration
	// NoUnadoptedAttempts is set if no earlier attempt can run on a host that has
	// not been adopted, so that the job does not wait until all hosts are adopted.
	NoUnadoptedAttempts bool
	// Spanning is set for a gang with parts in several shards. Such a part
	// starts only by a HoldConfirmed. Offset is the log offset at which the
	// gang was accepted; it orders spanning gangs in the same way in every
	// shard.
	Spanning bool
	Offset   uint64
}

// HoldRequested asks to hold capacity for all waiting tasks of a spanning gang
// in this shard until a clock value. The IDs of the holds of one job sort in
// the order of the requests.
type HoldRequested struct {
	Hold  string
	Job   work.JobID
	Until time.Duration
}

// HoldReleased releases a hold.
type HoldReleased struct {
	Hold string
	Job  work.JobID
}

// HoldConfirmed starts the tasks of a hold, if the hold has not expired.
type HoldConfirmed struct {
	Hold string
	Job  work.JobID
}

// GangRunning reports that all parts of a spanning gang run.
type GangRunning struct{ Job work.JobID }

// GangStopped reports that another part of a spanning gang does not run.
type GangStopped struct{ Job work.JobID }

// JobCancelled cancels all tasks of a job in this shard.
type JobCancelled struct{ Job work.JobID }

// TasksMoved removes a range of tasks that have not started from the shard.
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

// TaskRefused reports that an attempt certainly did not start.
type TaskRefused struct {
	Attempt work.AttemptID
	Host    string
	Reason  string
}

// TaskStartUnknown reports that a start request was sent and got no answer. The
// task counts as running on the host until a report or until its lease expires.
type TaskStartUnknown struct {
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

// UsageReported reports the measured resource usage of a host. It lags behind
// the actual usage.
type UsageReported struct {
	Host  string
	Usage resource.Vector
}

// ContractChanged replaces the published settings of teams, queues and limits.
type ContractChanged struct{ Contract Contract }

// AllotmentsChanged replaces the number of units of each limit that this shard
// may use, in units of the limit. A limit that is missing allows
// nothing.
type AllotmentsChanged struct{ Units map[string]int64 }

// StartsPaused pauses or resumes new starts. Non-idempotent starts can be
// paused alone, for a log that cannot record the intent to start them; package
// dispatch pauses only all starts.
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
func (TaskStartUnknown) isEvent()  {}
func (TaskEnded) isEvent()         {}
func (UsageReported) isEvent()     {}
func (ContractChanged) isEvent()   {}
func (AllotmentsChanged) isEvent() {}
func (StartsPaused) isEvent()      {}
func (HoldRequested) isEvent()     {}
func (HoldReleased) isEvent()      {}
func (HoldConfirmed) isEvent()     {}
func (GangRunning) isEvent()       {}
func (GangStopped) isEvent()       {}
