package scheduler

// TaskState is the state of a task.
type TaskState uint8

const (
	// TaskQueued waits for a host.
	TaskQueued TaskState = iota
	// TaskStarting has a start request sent to a host that has not answered
	// yet.
	TaskStarting
	// TaskRunning was accepted by its host.
	TaskRunning
	// TaskStopping was asked to stop and may still run.
	TaskStopping
	// TaskMayRun may be running: its start request got no answer.
	TaskMayRun
	// TaskHeld is non-idempotent and may have been started before, so it is not
	// started again.
	TaskHeld
	// TaskMoved now belongs to another shard.
	TaskMoved
	// TaskDone has an outcome.
	TaskDone
)

var taskStateNames = [...]string{
	TaskQueued: "queued", TaskStarting: "starting", TaskRunning: "running", TaskStopping: "stopping",
	TaskMayRun: "unknown", TaskHeld: "held", TaskMoved: "moved", TaskDone: "done",
}

// String returns the name of s.
func (s TaskState) String() string { return taskStateNames[s] }
