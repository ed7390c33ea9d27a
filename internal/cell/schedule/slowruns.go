package schedule

// minCopySamples is how many runs have to have ended until slow ones are told by their
// quantiles: with fewer, the 90 % quantile is one or two runs.
const minCopySamples = 30

// isSlowByLearned reports whether a copy of a run, by the run times of its step, is likely to
// end first. known is false if they are not known well enough to tell.
func (s *Scheduler) isSlowByLearned(a *taskRun) (slow, known bool) {
	if s.learning == nil || !a.task.group.runTimesLearned() {
		return false, false
	}
	anew := s.expected(a.task.group, nil)
	if anew.Samples < minCopySamples {
		return false, false
	}
	elapsed := s.now - a.orderedAt
	if elapsed < minCopyThreshold || elapsed < s.expected(a.task.group, a.host).P90 {
		return false, true
	}
	return s.remaining(a).Median >= anew.P90, true
}

// logCopy logs that a copy of a run is started which would not have been by its estimate.
func (s *Scheduler) logCopy(a *taskRun) {
	if _, known := s.isSlowByLearned(a); known && !s.isSlowByEstimate(a) {
		s.logLearned(learnedCopy, a.task.id.Submission, a.host.spec.ID, "A run counts as slow by learned run times, and not by its estimate.")
	}
}
