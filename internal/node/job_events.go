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
	// maxWatchedJobs is the maximum number of jobs that can be watched at once.
	maxWatchedJobs = 16384
	// positionShift is the number of low bits of a position that number the
	// events of one record.
	positionShift = 20
)

// jobEvents notifies watchers of changes of a job. Positions are derived from log
// offsets, so that a watch can be resumed at any node.
type jobEvents struct {
	mu          sync.Mutex
	waiters     map[work.JobID]chan struct{}
	lastOffsets map[work.JobID]uint64
}

func newJobEvents() *jobEvents {
	return &jobEvents{waiters: map[work.JobID]chan struct{}{}, lastOffsets: map[work.JobID]uint64{}}
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

// position returns the position after the last change of a job, or the lowest
// position if no offset is kept because the job has finished or this process has
// read no change of it.
func (j *jobEvents) position(id work.JobID) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return (j.lastOffsets[id] + 1) << positionShift
}

// notify wakes the watchers of the jobs that the events concern.
func (j *jobEvents) notify(events []ledger.Event) {
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.JobAccepted:
			j.recordChange(ev.Job.ID, ev.Offset, false)
		case ledger.OutcomesApplied:
			j.recordChange(ev.Job, ev.Offset, false)
		case ledger.JobCancelled:
			j.recordChange(ev.Job, ev.Offset, false)
		case ledger.JobFinished:
			j.recordChange(ev.Job, ev.Offset, true)
		case ledger.Restored:
			j.wakeAll()
		}
	}
}

// recordChange stores the offset of a change and wakes the watchers of the job.
// The offset is not kept for a finished job.
func (j *jobEvents) recordChange(id work.JobID, offset uint64, finished bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastOffsets[id] = offset
	if finished {
		delete(j.lastOffsets, id)
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

// Watch implements gateway.Backend. Each outcome is an event. The ledger keeps no
// history of single events, so a resumed watch starts with all known outcomes
// and may repeat some: delivery is at least once.
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

// emitOutcomes emits the outcomes that have not been sent, and adds them to sent.
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

// outcomeVerdict returns whether an outcome proves that a task ran or did not run.
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
