package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task    work.TaskID
	State   string
	Outcome work.Outcome
	// Attempt is the highest attempt number used; Host is where the task runs
	// or may run.
	Attempt int32
	Host    string
	// Waited is the time in the queue so far. It is zero if the task is not
	// queued.
	Waited time.Duration
}

// Task returns the status of a task, and false if it is not in this shard. A
// job whose tasks all have an outcome is removed once no attempt is left.
func (s *Scheduler) Task(id work.TaskID) (TaskStatus, bool) {
	j := s.jobs[id.Job]
	if j == nil {
		return TaskStatus{}, false
	}
	t := j.task(id.Index)
	if t == nil {
		return TaskStatus{}, false
	}
	return s.status(j, id.Index, t), true
}

// Tasks returns the status of all tasks of a job in this shard.
func (s *Scheduler) Tasks(id work.JobID) []TaskStatus {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	var out []TaskStatus
	j.forEachTask(func(i int32, t *task) { out = append(out, s.status(j, i, t)) })
	return out
}

func (s *Scheduler) status(j *job, i int32, t *task) TaskStatus {
	st := TaskStatus{
		Task: work.TaskID{Job: j.spec.ID, Index: i}, State: t.state.String(),
		Outcome: t.outcome, Attempt: t.attempts,
	}
	if t.currentAttempt != nil {
		st.Host = t.currentAttempt.host.view.ID
	}
	if t.state == TaskQueued {
		st.Waited = s.queuedFor(t)
	}
	return st
}
