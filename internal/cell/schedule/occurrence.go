package schedule

import (
	"cmp"
	"slices"
)

// taskCount returns the number of tasks of the job.
func (j *job) taskCount() int { return j.sub.OccurrenceCount() * j.occurrenceSize() }

// occurrenceSize returns the number of tasks of an occurrence.
func (j *job) occurrenceSize() int { return j.stepOffsets[j.steps] }

// hasStep reports whether the submission has a step in an occurrence.
func (j *job) hasStep(occurrence, step int) bool {
	return occurrence >= 0 && occurrence < j.sub.OccurrenceCount() && step >= 0 && step < j.steps
}

// firstTask returns the number of the first task of a step in an occurrence.
func (j *job) firstTask(occurrence, step int) int {
	return occurrence*j.occurrenceSize() + j.stepOffsets[step]
}

// groupIndex returns the position in groups of the first group whose tasks begin at a number
// or later, and whether they begin there.
func (j *job) groupIndex(firstTask int) (index int, found bool) {
	return slices.BinarySearchFunc(j.groups, firstTask, func(g *group, n int) int { return cmp.Compare(g.firstTask, n) })
}

// stepGroup returns the group of a step in an occurrence; nil if it has not been created, or
// is done and has been removed.
func (j *job) stepGroup(occurrence, step int) *group {
	if i, found := j.groupIndex(j.firstTask(occurrence, step)); found {
		return j.groups[i]
	}
	return nil
}

// occurrence returns the groups of an occurrence that are there. The steps of one do not wait
// for those of another.
func (j *job) occurrence(k int) []*group {
	from, _ := j.groupIndex(j.firstTask(k, 0))
	to, _ := j.groupIndex(j.firstTask(k+1, 0))
	return j.groups[from:to]
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
