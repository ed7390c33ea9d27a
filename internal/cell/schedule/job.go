package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// job is an accepted submission. It is kept until it has finished and its
// final progress is stored.
type job struct {
	sub   *cell.Submission
	queue cell.Queue
	team  *team
	// groups are those that have been created, in the order of their first tasks. stored is
	// the progress that an earlier owner stored, until they are created.
	groups []*group
	stored cell.Progress
	// nextDue is how many occurrences, in the order of their due times, have been created.
	nextDue int
	// deferredLogged is set once it is logged that work of it waits for room.
	deferredLogged bool
	// criticalPaths caches the result of criticalPath for each step.
	criticalPaths []time.Duration
	// pathsUntil is when they are computed anew while run times are learned.
	pathsUntil time.Duration
	// steps is the number of steps.
	steps int
	// stepOffsets are the numbers of the first task of each step within an occurrence, and
	// the number of tasks of one.
	stepOffsets []int
	state       cell.State
	// left is the number of tasks that are not done.
	left int
	// doneTasks holds the numbers of the tasks that are done, doneGroups those of the groups.
	doneTasks, doneGroups cell.BitSet
	// present is the number of tasks with runs.
	present int
	// unreconciled is set while the job may have runs of an earlier owner that
	// this owner does not know.
	unreconciled bool
	// beforeClaim is set if the job may have had runs of an earlier owner.
	beforeClaim bool
	// arrived is when the submission was received, on this owner's clock.
	arrived time.Duration
	// due is when the submission has to finish to meet its objective.
	due time.Duration
	// overRate is set for submissions that a team sends beyond its rate.
	overRate bool
	// urgent is set for submissions to a queue of priority 0. It keeps its value
	// from acceptance when the queue changes, so that usage is added to and
	// subtracted from the same counters.
	urgent        bool
	arrivalNumber int
	// suspected is set while one of the tasks may be the cause of a crash of a host, and
	// suspectedRuns counts the runs on hosts whose crash is not confirmed yet.
	suspected     bool
	suspectedRuns int
	// proven is set once a task has run for so long that the submission's tasks do not
	// crash their hosts at their start.
	proven bool
	// failedOn is the host of the last failed run since a run ended as done, empty if there
	// is none; doneRuns is how many ended so.
	failedOn string
	doneRuns int
	// awaitsFirstTask is the result of Scheduler.awaitsFirstTask in the decision examinedIn.
	awaitsFirstTask bool
	examinedIn      int64
	// idleSince is the result of Scheduler.idleSince in the decision idleSinceIn.
	idleSince   time.Duration
	idleSinceIn int64
	survival    survival
	// parts is set once the progress is divided; nil before.
	parts *progressParts
}

// group returns a group; nil if it is unknown, has not been created, or is done and has been
// removed.
func (j *job) group(id cell.GroupID) *group {
	if !j.hasStep(id.Occurrence, id.Step) {
		return nil
	}
	return j.stepGroup(id.Occurrence, id.Step)
}

// assumedAdviceHosts is the number of hosts in an advice call that is assumed when
// the objective is computed.
const assumedAdviceHosts = 30

// criticalPath returns the estimated duration of the longest chain of dependent
// steps that begins with a step.
func (j *job) criticalPath(from int) time.Duration {
	if j.criticalPaths == nil {
		j.criticalPaths = j.computeCriticalPaths()
	}
	return j.criticalPaths[from]
}

// computeCriticalPaths returns the critical path from each step on.
func (j *job) computeCriticalPaths() []time.Duration {
	return j.longestPaths(func(i int) time.Duration { return j.sub.Steps[i].Estimate })
}

// longestPaths returns the critical path from each step on, given how long a step takes.
func (j *job) longestPaths(takes func(step int) time.Duration) []time.Duration {
	longest := make([]time.Duration, j.steps)
	for i := j.steps - 1; i >= 0; i-- {
		step := &j.sub.Steps[i]
		longest[i] += takes(i)
		if j.queue.Advice != nil {
			longest[i] += j.queue.Advice.CallDuration(assumedAdviceHosts)
		}
		longest[i] = cell.ClampDuration(longest[i])
		for _, a := range step.After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	return longest
}

// objective returns how long the submission may take under its queue's
// objective.
func (j *job) objective() time.Duration {
	var longest time.Duration
	for i := range j.steps {
		longest = max(longest, j.criticalPath(i))
	}
	return cell.ScaleDuration(longest, j.queue.Stretch) + j.queue.Latency
}
