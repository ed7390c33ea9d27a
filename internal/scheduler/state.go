package scheduler

// TaskState is where a task is.
type TaskState uint8

const (
	// TaskQueued waits for a host.
	TaskQueued TaskState = iota
	// TaskStarting was sent to a host and has no answer yet.
	TaskStarting
	// TaskRunning was accepted by its host.
	TaskRunning
	// TaskStopping was asked to stop and may still run.
	TaskStopping
	// TaskMayRun may run: its start got no answer.
	TaskMayRun
	// TaskHeld is non-idempotent and may have been started before.
	TaskHeld
	// TaskMoved belongs to another shard.
	TaskMoved
	// TaskDone has its final outcome.
	TaskDone
)

var taskStateNames = [...]string{
	TaskQueued: "queued", TaskStarting: "starting", TaskRunning: "running", TaskStopping: "stopping",
	TaskMayRun: "unknown", TaskHeld: "held", TaskMoved: "moved", TaskDone: "done",
}

// String returns the name of s.
func (s TaskState) String() string { return taskStateNames[s] }
