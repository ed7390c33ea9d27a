package schedule

import (
	"cmp"
	"slices"
)

// mergeNewGroups adds the groups that were created to those of the scheduler, in the order of
// arrival.
func (s *Scheduler) mergeNewGroups() {
	if len(s.newGroups) == 0 {
		return
	}
	order := func(a, b *group) int {
		if c := cmp.Compare(a.job.arrivalNumber, b.job.arrivalNumber); c != 0 {
			return c
		}
		return cmp.Compare(a.firstTask, b.firstTask)
	}
	slices.SortFunc(s.newGroups, order)
	if n := len(s.groups); n == 0 || order(s.groups[n-1], s.newGroups[0]) < 0 {
		s.groups = append(s.groups, s.newGroups...)
		s.newGroups = nil
		return
	}
	merged := make([]*group, 0, len(s.groups)+len(s.newGroups))
	rest := s.newGroups
	for _, g := range s.groups {
		for len(rest) > 0 && order(rest[0], g) < 0 {
			merged, rest = append(merged, rest[0]), rest[1:]
		}
		merged = append(merged, g)
	}
	s.groups, s.newGroups = append(merged, rest...), nil
}

// liveGroups returns all groups that have been created and not removed.
func (s *Scheduler) liveGroups() []*group {
	s.mergeNewGroups()
	return s.groups
}

// removeDoneGroups removes the groups of jobs that have finished and have no runs left, and
// those of occurrences that are done.
func (s *Scheduler) removeDoneGroups() {
	if !s.cleanupNeeded {
		return
	}
	s.cleanupNeeded = false
	finished := func(j *job) bool { return j.state.Final() && !j.hasRuns() }
	removable := func(g *group) bool { return finished(g.job) || g.job.sub.Timed() && g.inDoneOccurrence() }
	var jobs []*job
	s.groups = slices.DeleteFunc(s.liveGroups(), func(g *group) bool {
		if !removable(g) {
			return false
		}
		g.removed = true
		s.weight -= g.weight()
		g.job.team.weight -= g.weight()
		if n := len(jobs); n == 0 || jobs[n-1] != g.job {
			jobs = append(jobs, g.job)
		}
		return true
	})
	for _, j := range jobs {
		if !finished(j) {
			j.groups = slices.DeleteFunc(j.groups, func(g *group) bool { return g.removed })
		}
	}
	s.timedJobs = slices.DeleteFunc(s.timedJobs, finished)
}

// inDoneOccurrence reports whether all groups of its occurrence are done and have no runs.
func (g *group) inDoneOccurrence() bool {
	if g.left > 0 || g.present > 0 || !g.job.isOccurrenceDone(g.id.Occurrence) {
		return false
	}
	return !slices.ContainsFunc(g.job.occurrence(g.id.Occurrence), func(o *group) bool { return o.present > 0 })
}
