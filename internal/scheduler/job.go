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
	// order ranks the jobs of one lane; the lowest goes first.
	order    time.Duration
	priority int
	parts    []part
	// ready lists queued task indices; entries may be stale.
	ready []int32
	head  int
	// waiting counts tasks that are queued and not delayed; pending counts
	// tasks without an outcome; live counts attempts on hosts.
	waiting, pending, live int32
	lane                   *lane
	team                   *team
	inLane                 bool
	cost                   int64
	placed                 *plan.Placed
	backoff                hosthealth.Backoff
	// progress is when a task last started, or the acceptance.
	progress time.Duration
	// uncertain is set while an earlier attempt may run on a host that has not
	// been adopted.
	uncertain bool
	// doubtful is set while the job is in the list of that name.
	doubtful bool
	// loose lists attempts of tasks that are not in this shard.
	loose []*attempt
	// aged is set while the job is in the list of jobs that may reserve.
	aged bool
	// ageTimer is set while a timer for the age is pending.
	ageTimer   bool
	reservedBy *reservation
	// closed is set once the queued tasks are to end with endOf.
	closed    bool
	cursor    int32
	endOf     work.Outcome
	endReason string
	// fitted is set once a host could hold a task; noneSince is when none could.
	fitted    bool
	none      bool
	noneSince time.Duration
	nextOffer time.Duration
	// spanning is set for a part of a gang with parts in other shards; offset
	// is where the log accepted it.
	spanning bool
	offset   uint64
	// hold is the granted hold, lastHold the highest ID, started the ID that
	// the tasks were last started by.
	hold              *hold
	lastHold, started string
	// wholeUntil is when the part is stopped unless the gang is known to be whole.
	wholeUntil time.Duration
	wholeTimer bool
	// slot is the position in the list of jobs.
	slot int
}

// part is a contiguous range of tasks.
type part struct {
	first int32
	tasks []task
}

func (j *job) task(i int32) *task {
	for k := range j.parts {
		if p := &j.parts[k]; i >= p.first && int(i-p.first) < len(p.tasks) {
			return &p.tasks[i-p.first]
		}
	}
	return nil
}

// each calls f for every task in the order of the parts.
func (j *job) each(f func(i int32, t *task)) {
	for k := range j.parts {
		for n := range j.parts[k].tasks {
			f(j.parts[k].first+int32(n), &j.parts[k].tasks[n])
		}
	}
}

// startable reports whether t may be started now.
func (t *task) startable() bool { return t.state == TaskQueued && !t.delayed && t.extra == 0 }

// next returns the next startable task without taking it.
func (j *job) next() (int32, *task) {
	for j.head < len(j.ready) {
		i := j.ready[j.head]
		t := j.task(i)
		if t.startable() {
			return i, t
		}
		t.listed = false
		j.head++
	}
	j.ready, j.head = j.ready[:0], 0
	return 0, nil
}

// count adds n to the startable tasks.
func (j *job) count(n int32) {
	j.waiting += n
	j.team.waiting += int(n)
	if !j.closed {
		j.want(int64(n))
	}
}

// want adds n waiting tasks to what the team wants in summaries.
func (j *job) want(n int64) {
	j.team.wanted += n
	if j.cost < uncoverable && !j.spanning {
		j.team.wantedUnits += n * j.cost
	}
}

// take removes the task that next returned.
func (j *job) take(t *task) {
	t.listed = false
	j.count(-1)
	j.head++
	if j.head > 64 && j.head*2 > len(j.ready) {
		j.ready = j.ready[:copy(j.ready, j.ready[j.head:])]
		j.head = 0
	}
}
