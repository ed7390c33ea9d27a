package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/hosthealth"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// job is a job with tasks in this shard.
type job struct {
	spec     work.Job
	accepted time.Duration
	// orderTime orders the jobs of one group, the lowest first: the acceptance,
	// or an earlier value that a deadline requires.
	orderTime time.Duration
	priority  int
	ranges    []taskRange
	// ready lists indexes of queued tasks from readyHead on; entries may be
	// stale.
	ready     []int32
	readyHead int
	// waiting counts tasks that are queued and not delayed; pending counts
	// tasks without an outcome; live counts attempts on hosts.
	waiting, pending, live int32
	group                  *jobGroup
	team                   *team
	inGroup                bool
	cost                   int64
	placed                 *plan.DomainCounts
	backoff                hosthealth.Backoff
	// lastProgress is when a task last started, or the acceptance of the job.
	lastProgress time.Duration
	// mayHaveUnadoptedAttempts is set while an earlier attempt may run on a host
	// that has not been adopted.
	mayHaveUnadoptedAttempts bool
	// inMaybeRunning is set while the job is in Scheduler.maybeRunningJobs.
	inMaybeRunning bool
	// unboundAttempts lists attempts of tasks that are not in this shard.
	unboundAttempts []*attempt
	// aged is set while the job is in Scheduler.agedJobs and may get a
	// reservation.
	aged bool
	// ageTimer is set while a timer of kind timerAge is pending.
	ageTimer    bool
	reservation *reservation
	// closed is set once the queued tasks are to end with closeOutcome.
	closed       bool
	closeCursor  int32
	closeOutcome work.Outcome
	closeReason  string
	// everFeasible is set once the hosts and the limit could hold the job;
	// infeasibleSince is when they last could not any more.
	everFeasible    bool
	infeasible      bool
	infeasibleSince time.Duration
	nextOffer       time.Duration
	// spanning is set for a part of a gang with parts in other shards; offset
	// is the log offset at which the gang was accepted.
	spanning bool
	offset   uint64
	// hold is the granted hold, lastHold the highest hold ID seen, startedBy
	// the ID of the hold by which the tasks were last started.
	hold                *hold
	lastHold, startedBy string
	// gangDeadline is when the part stops unless the coordinator reports before
	// that all parts of the gang run.
	gangDeadline      time.Duration
	gangDeadlineTimer bool
	// index is the position in Scheduler.jobList.
	index int
}

// taskRange is a contiguous range of tasks.
type taskRange struct {
	first int32
	tasks []task
}

func (j *job) task(i int32) *task {
	for k := range j.ranges {
		if p := &j.ranges[k]; i >= p.first && int(i-p.first) < len(p.tasks) {
			return &p.tasks[i-p.first]
		}
	}
	return nil
}

// forEachTask calls f for every task in the order of the ranges.
func (j *job) forEachTask(f func(i int32, t *task)) {
	for k := range j.ranges {
		for n := range j.ranges[k].tasks {
			f(j.ranges[k].first+int32(n), &j.ranges[k].tasks[n])
		}
	}
}

// startable reports whether t may be started now.
func (t *task) startable() bool { return t.state == TaskQueued && !t.delayed && t.otherAttempts == 0 }

// nextTask returns the next startable task without removing it.
func (j *job) nextTask() (int32, *task) {
	for j.readyHead < len(j.ready) {
		i := j.ready[j.readyHead]
		t := j.task(i)
		if t.startable() {
			return i, t
		}
		t.inReady = false
		j.readyHead++
	}
	j.ready, j.readyHead = j.ready[:0], 0
	return 0, nil
}

// addStartable adds n to the number of startable tasks.
func (j *job) addStartable(n int32) {
	j.waiting += n
	j.team.waiting += int(n)
	if !j.closed {
		j.addDemand(int64(n))
	}
}

// addDemand adds n waiting tasks to the demand of the team in summaries.
func (j *job) addDemand(n int64) {
	j.team.demand += n
	if n != 0 && j.cost < uncoverableCost && !j.spanning {
		j.team.sizeDemands.add(j.spec.Size, j.cost, n)
	}
}

// takeNext removes the task that nextTask returned.
func (j *job) takeNext(t *task) {
	t.inReady = false
	j.addStartable(-1)
	j.readyHead++
	if j.readyHead > 64 && j.readyHead*2 > len(j.ready) {
		j.ready = j.ready[:copy(j.ready, j.ready[j.readyHead:])]
		j.readyHead = 0
	}
}
