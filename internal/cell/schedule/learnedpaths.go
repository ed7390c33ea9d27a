package schedule

import (
	"fmt"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// loggedObjectiveFactor is the least factor between the objectives by learned run times and
// by estimates for which the difference is logged.
const loggedObjectiveFactor = 1.5

// criticalPath returns the expected duration of the longest chain of dependent steps of a
// job that begins with a step.
func (s *Scheduler) criticalPath(j *job, from int) time.Duration {
	if s.learning != nil && (j.criticalPaths == nil || s.now >= j.pathsUntil) {
		j.criticalPaths = j.longestPaths(func(i int) time.Duration { return s.learnedStep(j, i) })
		j.pathsUntil = s.now + pathRefresh
	}
	return j.criticalPath(from)
}

// learnedStep returns how long a task of a step is expected to take at normal speed.
func (s *Scheduler) learnedStep(j *job, i int) time.Duration {
	step := &j.sub.Steps[i]
	if step.LongRunning {
		return step.Estimate
	}
	return s.learning.model.Expect(runtimes.Key{Queue: j.sub.Queue.Name, Step: i}, step.Estimate, 1).Median
}

// objective returns how long a submission that has arrived may take under its queue's
// objective. It is computed once: otherwise the same submission would be in time or late
// depending on what has ended since.
func (s *Scheduler) objective(j *job) time.Duration {
	if s.learning == nil {
		return j.objective()
	}
	byEstimate := j.objective()
	j.criticalPaths = nil
	_ = s.criticalPath(j, 0)
	learned := j.objective()
	if ratio := float64(learned) / float64(max(byEstimate, 1)); ratio > loggedObjectiveFactor || ratio < 1/loggedObjectiveFactor {
		s.logLearned(learnedObjective, j.sub.ID, "", fmt.Sprintf("The objective follows from learned run times: it is %s; by estimates, it would be %s.", learned.Round(time.Millisecond), byEstimate.Round(time.Millisecond)))
	}
	return learned
}
