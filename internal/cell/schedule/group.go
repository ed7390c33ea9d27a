package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// group holds the tasks of one step in one occurrence.
type group struct {
	id    cell.GroupID
	job   *job
	step  *cell.Step
	size  resource.Vector
	tasks []*task
	// firstTask is the number of its first task; see cell.Submission.StepOffsets.
	firstTask int
	// left counts the tasks that are not done, present the tasks with a run, and
	// waiting the tasks that are not done and have no run.
	left, present, waiting int
	// runsPerHost counts the runs on each host that has some. A step may have as many tasks
	// as a submission, so that they must not be counted anew for each host or task.
	runsPerHost map[*host]int
	// stopsOrdered is set once all runs have been ordered to stop, until another one begins.
	stopsOrdered bool
	// endsBy is the result of Scheduler.expectedGroupEnd in the decision endsByIn.
	endsBy   time.Duration
	endsByIn int64
	// removed is set once the group has been removed; see removeDoneGroups.
	removed bool
	// ready is set once the earlier steps are done and the occurrence is due.
	ready   bool
	readyAt time.Duration
	advice  advice
	// run is the run number of a gang that has been started; zero if none.
	run int64
	// memberEnded is set once a member of the gang has ended before the gang is
	// done; the other members end too.
	memberEnded bool
	// memberEndedAt is when the scheduler learned of it.
	memberEndedAt time.Duration
	startedAt     time.Duration
	// couldSpreadAt is since when a gang that waits for one rack could have started on
	// several ones; zero if it could not yet.
	couldSpreadAt time.Duration
	// promise is what a gang was first expected to get; nil if nothing was reserved for
	// it since its last start.
	promise *promise
	// pinned is the room of a gang that waits for new tickets only; nil if there is none.
	pinned *pinnedRoom
	// trialWait is the wait of the group, of a suspected job, for a trial. givenBack holds
	// the hosts that were kept free for it and that it did not use since its last trial.
	trialWait trial.Wait
	givenBack map[*host]bool
	// trialRoom is for how many of its tasks hosts are kept free.
	trialRoom int
	// trial is set while the group is placed that may use only hosts without other runs.
	trial bool
	// placedIn is the number of the last decision in which the group was placed.
	placedIn int64
	// ignoresReservations is set while the group may use what is reserved for gangs; see
	// mayIgnoreReservations.
	ignoresReservations bool
	// expectation is the result of Scheduler.learnedExpectation until expectedUntil.
	expectation   runtimes.Expectation
	expectedUntil time.Duration
	// excess is set if the waiting tasks are beyond the share of the team, owed if they are
	// in time and within it; see divideShares. useless is the result of isUseless.
	excess, owed, useless bool
	// waitReason is why the group does not start; see setWaitReason.
	waitReason waitReason
}

// waitingTasks returns the tasks that wait to be started.
func (g *group) waitingTasks() []*task { return g.firstWaitingTasks(g.waiting) }

// firstWaitingTasks returns the first tasks that wait to be started, at most some of them.
func (g *group) firstWaitingTasks(most int) []*task {
	out := make([]*task, 0, min(most, g.waiting))
	for _, t := range g.tasks {
		if len(out) >= most {
			break
		}
		if t.waiting() {
			out = append(out, t)
		}
	}
	return out
}

// runsOn returns how many runs of the group are on a host.
func (g *group) runsOn(h *host) int { return g.runsPerHost[h] }

// countRun adds to the number of runs on a host.
func (g *group) countRun(h *host, n int) {
	if g.runsPerHost == nil {
		g.runsPerHost = make(map[*host]int)
	}
	if g.runsPerHost[h] += n; g.runsPerHost[h] == 0 {
		delete(g.runsPerHost, h)
	}
}

// estimate returns how long a task is expected to take on a host, or on a host
// of normal speed if h is nil.
func (g *group) estimate(h *host) time.Duration {
	d := g.step.Estimate
	if h != nil {
		d = time.Duration(float64(d) * max(h.health.slowness, 1))
	}
	return d
}

// urgent reports whether the group's submission came through a queue of
// priority 0.
func (g *group) urgent() bool { return g.job.urgent }
