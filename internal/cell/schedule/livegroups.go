package schedule

import (
	"cmp"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// groupWeight is the weight of a group besides that of its tasks, which is one for each.
	groupWeight = 2
	// reserveShare is the part of Options.MaxWeight that is kept for the submission that
	// waits longest for its groups, so that a large one is not passed by small ones for ever.
	reserveShare = 0.4
	// MinMaxWeight is the least Options.MaxWeight with which each submission gets its groups:
	// the reserve holds the largest one.
	MinMaxWeight = (cell.MaxTasks + groupWeight*cell.MaxSteps) * 10 / 4
)

// The groups of a submission, with their tasks, are created when they are needed: those of
// an occurrence when it is due, the others when there is room for them, and any when a host
// reports a run of one. Those of an occurrence are removed once they are done. So the memory
// of an owner is bounded by the tasks that may start, whatever has been accepted.

// createGroups creates the groups of new submissions and due occurrences for which there is
// room, in the order of arrival.
func (s *Scheduler) createGroups() {
	s.reserveTaken = false
	s.deferred = slices.DeleteFunc(s.deferred, func(j *job) bool {
		if !j.state.Final() && len(j.groups) == 0 {
			s.createWithRoom(j, 0)
		}
		return j.state.Final() || len(j.groups) > 0
	})
	for _, j := range s.timedJobs {
		if !j.state.Final() {
			s.createDueOccurrences(j)
		}
	}
	s.mergeNewGroups()
}

// createDueOccurrences creates the groups of the occurrences of a job that have become due.
func (s *Scheduler) createDueOccurrences(j *job) {
	for ; j.nextDue < j.sub.Occurrences; j.nextDue++ {
		k := j.nextDue
		if j.sub.Interval < 0 {
			k = j.sub.Occurrences - 1 - j.nextDue
		}
		if s.wallClock < j.sub.Due(k) || !s.createWithRoom(j, k) {
			return
		}
	}
}

// createWithRoom creates the groups of an occurrence of a job if there is room for them.
func (s *Scheduler) createWithRoom(j *job, k int) bool {
	if !s.hasRoomToCreate(j) {
		s.noteDeferred(j)
		return false
	}
	s.createOccurrence(j, k)
	return true
}

// hasRoomToCreate reports whether the groups of one occurrence of a job may be created. A team
// may have as much as is left for all others, so that it leaves them room. The job that waits
// longest may use the reserve, unless it is only the next one of many of its team.
func (s *Scheduler) hasRoomToCreate(j *job) bool {
	if s.options.MaxWeight == 0 {
		return true
	}
	most := float64(s.options.MaxWeight)
	shared := (1 - reserveShare) * most
	weight, total, ofTeam := float64(j.weight()), float64(s.weight), float64(j.team.weight)
	if ofTeam+weight <= shared-total {
		return true
	}
	if len(j.groups) > 0 || ofTeam > shared/2 || s.reserveTaken {
		return false
	}
	s.reserveTaken = total+weight > most // nothing that came later uses what it waits for
	return !s.reserveTaken
}

// noteDeferred logs once that work of a job waits for room.
func (s *Scheduler) noteDeferred(j *job) {
	if !j.deferredLogged {
		j.deferredLogged = true
		s.logMessage(j.sub.ID, "", "Work of the submission waits, since the owner holds as many tasks as it may.")
	}
}

// createOccurrence creates the groups of an occurrence of a job, or of a job without
// occurrences, unless they are there or done.
func (s *Scheduler) createOccurrence(j *job, k int) {
	if j.state.Final() || j.isOccurrenceDone(k) || j.hasGroups(k) {
		return
	}
	groups := make([]*group, 0, j.steps)
	for i := range j.steps {
		g := s.newGroup(j, k, i)
		s.weight += g.weight()
		j.team.weight += g.weight()
		groups = append(groups, g)
	}
	at, _ := slices.BinarySearchFunc(j.groups, groups[0].firstTask, func(g *group, first int) int { return cmp.Compare(g.firstTask, first) })
	j.groups = slices.Insert(j.groups, at, groups...)
	s.newGroups = append(s.newGroups, groups...)
	s.markReady(groups)
}

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

// weight returns how much memory the group takes, in that of a task.
func (g *group) weight() int { return len(g.tasks) + groupWeight }

// weight returns the weight of the groups of one occurrence.
func (j *job) weight() int { return j.occurrenceSize() + groupWeight*j.steps }

// taskCount returns the number of tasks of the job.
func (j *job) taskCount() int { return j.sub.OccurrenceCount() * j.occurrenceSize() }

// occurrenceSize returns the number of tasks of an occurrence.
func (j *job) occurrenceSize() int { return j.stepOffsets[j.steps] }

// stepGroup returns the group of a step in an occurrence; nil if it has not been created, or
// is done and has been removed.
func (j *job) stepGroup(occurrence, step int) *group {
	first := occurrence*j.occurrenceSize() + j.stepOffsets[step]
	at, ok := slices.BinarySearchFunc(j.groups, first, func(g *group, first int) int { return cmp.Compare(g.firstTask, first) })
	if !ok {
		return nil
	}
	return j.groups[at]
}

// hasGroups reports whether groups of an occurrence are there.
func (j *job) hasGroups(occurrence int) bool {
	first := occurrence * j.occurrenceSize()
	at, _ := slices.BinarySearchFunc(j.groups, first, func(g *group, first int) int { return cmp.Compare(g.firstTask, first) })
	return at < len(j.groups) && j.groups[at].id.Occurrence == occurrence
}

// occurrence returns the groups of an occurrence that are there. The steps of one do not wait
// for those of another.
func (j *job) occurrence(n int) []*group {
	find := func(first int) int {
		at, _ := slices.BinarySearchFunc(j.groups, first, func(g *group, first int) int { return cmp.Compare(g.firstTask, first) })
		return at
	}
	return j.groups[find(n*j.occurrenceSize()):find((n+1)*j.occurrenceSize())]
}

// isOccurrenceDone reports whether all groups of an occurrence are done.
func (j *job) isOccurrenceDone(k int) bool {
	for i := range j.steps {
		if !j.doneGroups.Has(k*j.steps + i) {
			return false
		}
	}
	return true
}

// restoreDone takes over which tasks and groups are done.
func (j *job) restoreDone(p cell.Progress) {
	j.left = j.taskCount()
	if !p.HasBegun() {
		return
	}
	j.doneTasks = p.DoneTasks.Clone()
	for _, number := range p.DoneGroups.Members() {
		j.setGroupDone(number)
	}
	for id, g := range p.Groups {
		if occurrence, step, ok := cell.ParseGroupID(id); ok && j.hasStep(occurrence, step) {
			first := occurrence*j.occurrenceSize() + j.stepOffsets[step]
			for _, i := range g.Done.Members() {
				if i < j.sub.Steps[step].Count {
					j.doneTasks.Set(first + i)
				}
			}
		}
	}
	for number := range j.sub.OccurrenceCount() * j.steps {
		left := j.sub.Steps[number%j.steps].Count
		first := number/j.steps*j.occurrenceSize() + j.stepOffsets[number%j.steps]
		for i := range j.sub.Steps[number%j.steps].Count {
			if j.doneTasks.Has(first + i) {
				left--
				j.left--
			}
		}
		if left == 0 {
			j.doneGroups.Set(number)
		}
	}
}

// setGroupDone marks all tasks of a group as done.
func (j *job) setGroupDone(number int) {
	if number >= j.sub.OccurrenceCount()*j.steps {
		return
	}
	first := number/j.steps*j.occurrenceSize() + j.stepOffsets[number%j.steps]
	for i := range j.sub.Steps[number%j.steps].Count {
		j.doneTasks.Set(first + i)
	}
}

func (j *job) hasStep(occurrence, step int) bool {
	return occurrence >= 0 && occurrence < j.sub.OccurrenceCount() && step >= 0 && step < j.steps
}

// createStarted creates the groups of which the stored progress says that they have begun:
// an earlier owner may have started runs of them.
func (s *Scheduler) createStarted(j *job) {
	if !j.sub.Timed() {
		s.createOccurrence(j, 0)
		return
	}
	for id := range j.stored.Groups {
		if occurrence, step, ok := cell.ParseGroupID(id); ok && j.hasStep(occurrence, step) {
			s.createOccurrence(j, occurrence)
		}
	}
	size := j.occurrenceSize()
	for k := range j.sub.Occurrences {
		for i := range size {
			if j.doneTasks.Has(k*size + i) {
				s.createOccurrence(j, k) // not if all of it is done
				break
			}
		}
	}
}
