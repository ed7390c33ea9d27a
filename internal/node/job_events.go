package node

import (
	"context"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// maxWatchedJobs bounds the jobs whose changes can be waited for at once.
	maxWatchedJobs = 16384
	// positionShift leaves room for the events of one record in a position.
	positionShift = 20
)

// jobEvents lets watchers wait for changes of a job. Positions are log offsets,
// so that a watch can be resumed at any node.
type jobEvents struct {
	mu      sync.Mutex
	waiters map[work.JobID]chan struct{}
	last    map[work.JobID]uint64
}

func newJobEvents() *jobEvents {
	return &jobEvents{waiters: map[work.JobID]chan struct{}{}, last: map[work.JobID]uint64{}}
}

// changed returns a channel that is closed at the next change of a job.
func (j *jobEvents) changed(id work.JobID) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	ch := j.waiters[id]
	if ch == nil {
		ch = make(chan struct{})
		if len(j.waiters) < maxWatchedJobs {
			j.waiters[id] = ch
		}
	}
	return ch
}

// position returns the position after the last change of a job.
func (j *jobEvents) position(id work.JobID) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return (j.last[id] + 1) << positionShift
}

// note wakes the watchers of the jobs that events are about.
func (j *jobEvents) note(events []ledger.Event) {
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.JobAccepted:
			j.touch(ev.Job.ID, ev.Offset, false)
		case ledger.OutcomesApplied:
			j.touch(ev.Job, ev.Offset, false)
		case ledger.JobCancelled:
			j.touch(ev.Job, ev.Offset, false)
		case ledger.JobFinished:
			j.touch(ev.Job, ev.Offset, true)
		case ledger.Restored:
			j.wakeAll()
		}
	}
}

// touch notes a change at an offset. The last offset of a finished job is not kept.
func (j *jobEvents) touch(id work.JobID, offset uint64, finished bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.last[id] = offset
	if finished {
		delete(j.last, id)
	}
	if ch := j.waiters[id]; ch != nil {
		close(ch)
		delete(j.waiters, id)
	}
}

// wakeAll wakes all watchers.
func (j *jobEvents) wakeAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, ch := range j.waiters {
		close(ch)
		delete(j.waiters, id)
	}
}

// Watch implements gateway.Backend. Each outcome is an event. The log keeps no
// history of single events, so a resumed watch starts with all outcomes that
// are known then and may repeat some: delivery is at least once.
func (n *Node) Watch(ctx context.Context, caller gateway.Caller, id string, position uint64, emit func(gateway.JobEvent) error) error {
	if _, err := n.visibleJob(caller, id); err != nil {
		return err
	}
	sent := map[int32]work.Outcome{}
	for {
		changed := n.jobEvents.changed(work.JobID(id))
		job, ok := n.replica.Job(work.JobID(id))
		if !ok {
			return refused(gateway.CodeGone, 0, "job %q is no longer kept", id)
		}
		next := max(position, n.jobEvents.position(work.JobID(id)))
		if err := emitOutcomes(&job, sent, next, emit); err != nil {
			return err
		}
		if job.Finished() {
			return emit(gateway.JobEvent{Position: next + 1<<positionShift - 1, Task: -1, State: gateway.StateEnded, Verdict: executionOf(&job), End: true})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// emitOutcomes emits the outcomes that were not sent yet.
func emitOutcomes(job *ledger.Job, sent map[int32]work.Outcome, position uint64, emit func(gateway.JobEvent) error) error {
	for _, r := range job.Outcomes {
		for i := r.First; i < r.First+r.Count; i++ {
			if sent[i] == r.Outcome {
				continue
			}
			sent[i] = r.Outcome
			position++
			err := emit(gateway.JobEvent{Position: position, Task: i, State: r.Outcome.String(), Verdict: outcomeVerdict(r.Outcome)})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// outcomeVerdict returns what an outcome proves about the execution of a task.
func outcomeVerdict(o work.Outcome) verdict.Verdict {
	switch o {
	case work.Succeeded, work.Failed, work.Stopped:
		return verdict.DidRun
	case work.Cancelled, work.Infeasible:
		return verdict.DidNotRun
	default:
		return verdict.MayHaveRun
	}
}
