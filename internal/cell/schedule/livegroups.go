package schedule

import (
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
		if j.isOccurrenceDone(k) || len(j.occurrence(k)) > 0 {
			continue
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
	if j.state.Final() || j.isOccurrenceDone(k) || len(j.occurrence(k)) > 0 {
		return
	}
	groups := make([]*group, 0, j.steps)
	for i := range j.steps {
		g := s.newGroup(j, k, i)
		s.weight += g.weight()
		j.team.weight += g.weight()
		groups = append(groups, g)
	}
	at, _ := j.groupIndex(groups[0].firstTask)
	j.groups = slices.Insert(j.groups, at, groups...)
	s.newGroups = append(s.newGroups, groups...)
	if !j.sub.Timed() {
		j.forgetStored()
	}
	s.markReady(groups)
}

// Held returns the weight of the groups, see Options.MaxWeight, and how many submissions wait
// until theirs may be created.
func (s *Scheduler) Held() (weight, deferred int) { return s.weight, len(s.deferred) }

// weight returns how much memory the group takes, in that of a task.
func (g *group) weight() int { return len(g.tasks) + groupWeight }

// weight returns the weight of the groups of one occurrence.
func (j *job) weight() int { return j.occurrenceSize() + groupWeight*j.steps }
