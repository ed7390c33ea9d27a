package schedule

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

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
			first := j.firstTask(occurrence, step)
			for _, i := range g.Done.Members() {
				if i < j.sub.Steps[step].Count {
					j.doneTasks.Set(first + i)
				}
			}
		}
	}
	for number := range j.sub.OccurrenceCount() * j.steps {
		left := j.sub.Steps[number%j.steps].Count
		first := j.firstTask(number/j.steps, number%j.steps)
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
	first := j.firstTask(number/j.steps, number%j.steps)
	for i := range j.sub.Steps[number%j.steps].Count {
		j.doneTasks.Set(first + i)
	}
}

// createStarted creates the groups of which the stored progress says that they have begun:
// an earlier owner may have started runs of them. If an earlier owner held more than this one
// may, those of a job without occurrences are created later.
func (s *Scheduler) createStarted(j *job) {
	if !j.sub.Timed() {
		if s.options.MaxWeight == 0 || s.weight+j.weight() <= s.options.MaxWeight {
			s.createOccurrence(j, 0)
		}
		return
	}
	defer j.forgetStored()
	for _, id := range slices.Sorted(maps.Keys(j.stored.Groups)) {
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

// forgetStored forgets the stored progress once the groups have been created that it has
// details of: what it says of others is in doneTasks.
func (j *job) forgetStored() { j.stored = cell.Progress{} }
