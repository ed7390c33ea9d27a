package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

const (
	// lateReport is the time without a report of a host after which the ends that it then
	// reports may have been long before.
	lateReport = 2 * time.Second
	// expectationRefresh is how long the expectation of a group is used until it is looked up
	// again: thousands of groups may wait, and a distribution needs longer to change.
	expectationRefresh = 250 * time.Millisecond
	// pathRefresh is how long the critical paths of a job are used until they are computed
	// from the newest run times.
	pathRefresh = time.Second
	// learnedLogInterval is the least time between two messages about decisions of one kind
	// that the learned run times have changed.
	learnedLogInterval = 10 * time.Second
)

// learning holds what is learned from ended runs while Features.LearnRunTimes is set.
type learning struct {
	model *runtimes.Model
	// meanLogSlowness is the mean of the logarithms of the slowness of all hosts. Hosts are
	// measured against it: otherwise the run times and the slowness of all hosts could drift
	// in opposite directions.
	meanLogSlowness float64
	// speedsUntil is when it is computed anew.
	speedsUntil time.Duration
	// observed is the number of runs that the model recorded, and stored that at the last call
	// of Scheduler.RunTimes.
	observed, stored int64
	// storedSlowness is that of hosts that an earlier owner has measured.
	storedSlowness map[string]float64
	// logAfter is when the next message about each kind of decision may be logged.
	logAfter [learnedDecisions]time.Duration
}

func newLearning(f Features) *learning {
	if !f.LearnRunTimes {
		return nil
	}
	return &learning{model: runtimes.New(runtimes.Options{})}
}

// observe adds a run to the model, and counts it if it was recorded.
func (l *learning) observe(k runtimes.Key, r runtimes.Run, censored bool) {
	if l.model.Observe(k, r, censored) {
		l.observed++
	}
}

// runTimeKey returns the key under which the run times of a group are learned.
func (g *group) runTimeKey() runtimes.Key {
	return runtimes.Key{Queue: g.job.sub.Queue.Name, Step: g.id.Step}
}

// runTimesLearned reports whether the run times of a group are learned.
func (g *group) runTimesLearned() bool { return !g.step.LongRunning }

// learnedExpectation returns how long a task of a group is expected to take on a host of
// normal speed.
func (s *Scheduler) learnedExpectation(g *group) runtimes.Expectation {
	if s.now >= g.expectedUntil {
		g.expectedUntil = s.now + expectationRefresh
		if g.runTimesLearned() {
			g.expectation = s.learning.model.Expect(g.runTimeKey(), g.step.Estimate, 1)
		} else {
			g.expectation = runtimes.Exactly(g.step.Estimate)
		}
	}
	return g.expectation
}

// logBackfill logs that a task starts on a host in room that is reserved for a gang, since it
// is expected to end before, and would not by its estimate.
func (s *Scheduler) logBackfill(t *task, h *host) {
	g := t.group
	if s.learning == nil || h.reservedUntil == 0 || g.ignoresReservations || s.now < s.learning.logAfter[learnedBackfill] {
		return
	}
	if g.size.Fits(h.freeFor(s.now+s.expected(g, h).P90)) && !g.size.Fits(h.freeFor(s.now+g.estimate(h))) {
		s.logLearned(learnedBackfill, t.id.Submission, h.spec.ID, "A task starts in room that is reserved for a gang, since by learned run times it ends before; by its estimate, it would not.")
	}
}

// logLearned logs a decision that the learned run times have changed, at most one of its kind
// in learnedLogInterval.
func (s *Scheduler) logLearned(d learnedDecision, submission, host, text string) {
	if s.now < s.learning.logAfter[d] {
		return
	}
	s.learning.logAfter[d] = s.now + learnedLogInterval
	s.logMessage(submission, host, text)
}
