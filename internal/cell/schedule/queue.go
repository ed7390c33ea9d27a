package schedule

import (
	"cmp"
	"slices"
	"time"
)

// tooLateFactor times the objective is how long a submission may take until its
// result is worth nothing to its caller.
const tooLateFactor = 3

// usefulUntil returns the time after which the result of the job is worth nothing to its
// caller.
func (j *job) usefulUntil() time.Duration { return j.arrived + tooLateFactor*(j.due-j.arrived) }

// Ranks of waiting groups; the lowest is placed first.
const (
	// rankIncompleteGang is for gangs with refused members, whose other members
	// already wait on their hosts.
	rankIncompleteGang = iota
	// rankUrgent is for work of priority 0 that can still meet its objective.
	rankUrgent
	// rankInTime is for other work that can still meet its objective. Work of
	// priority 0 that will miss it, but end within tooLateFactor times it, has this
	// rank too and comes early because its laxity is negative. Such work is small.
	// Submissions with due times and long-running steps always count as in time.
	rankInTime
	// rankLate is for other work that will miss its objective but end within
	// tooLateFactor times it, rankTooLate for all later work.
	rankLate
	rankTooLate
	// overRateOffset is not a rank: it is added to the rank of submissions beyond a
	// team's rate, so that they come after all others. Incomplete gangs are exempt.
	overRateOffset
	// rankSuspected is the rank of submissions that may have crashed a host, so that
	// sound work is not delayed by them. It lasts for trial.MaxIdleHostWait.
	rankSuspected = 2 * overRateOffset
)

// queueEntry is a waiting group with its sort keys and what the crashes of hosts mean
// for its job.
type queueEntry struct {
	group  *group
	rank   int
	laxity time.Duration
	// underTrial and awaitsFirstTask are what the methods of these names returned.
	underTrial, awaitsFirstTask bool
	// position is the position in the order of arrival.
	position int
	// excess and level are the results of claimShare.
	excess bool
	level  float64
	// useless is the result of isUseless.
	useless bool
}

// queue returns the groups with waiting tasks in the order in which they are placed. The
// slice is valid until the next call.
func (s *Scheduler) queue() []queueEntry {
	q := s.queueBuffer[:0]
	for i, g := range s.liveGroups() {
		if s.isWaiting(g) {
			e := s.rank(g)
			e.position = i
			q = append(q, e)
		}
	}
	slices.SortFunc(q, func(a, b queueEntry) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if c := cmp.Compare(a.laxity, b.laxity); c != 0 {
			return c
		}
		return a.position - b.position
	})
	s.queueBuffer = q
	if s.options.Features.FairShares || s.options.Features.Admission {
		s.divideShares(q)
	}
	return q
}

// isWaiting reports whether a group has tasks that can be placed.
func (s *Scheduler) isWaiting(g *group) bool {
	return g.ready && g.waiting > 0 && !g.job.unreconciled
}

// examine returns the groups of a job, to judge it as a whole. A job may have as many
// groups as it has occurrences, so that this must not be done for each of them.
func (s *Scheduler) examine(j *job) []*group {
	s.work.groups += len(j.groups)
	return j.groups
}

// entry returns the entry of a group without its sort keys.
func (s *Scheduler) entry(g *group) queueEntry {
	j := g.job
	if j.examinedIn != s.decision {
		j.examinedIn, j.awaitsFirstTask = s.decision, s.awaitsFirstTask(j) // it examines all groups of the job
	}
	return queueEntry{group: g, underTrial: s.underTrial(j), awaitsFirstTask: j.awaitsFirstTask}
}

// rank computes the sort keys of a group: its rank, and its laxity, which is the
// time until it is due minus the time that its work takes. Negative laxity means
// that the work is expected to miss its objective.
func (s *Scheduler) rank(g *group) queueEntry {
	j := g.job
	work := s.criticalPath(j, g.id.Step)
	e := s.entry(g)
	e.laxity = j.due - s.now - work
	urgent := j.queue.Priority == 0
	switch {
	case g.step.Gang && g.run != 0:
		e.rank = rankIncompleteGang
		return e
	case j.sub.Timed(), g.step.LongRunning, e.laxity >= 0:
		e.rank = rankInTime
		if urgent {
			e.rank = rankUrgent
		}
	case s.now+work <= j.usefulUntil():
		e.rank = rankLate
		if urgent {
			e.rank = rankInTime
		}
	default:
		e.rank = rankTooLate
		e.useless = s.isUseless(j, work)
	}
	if e.rank >= rankLate && e.awaitsFirstTask {
		// Later submissions are more likely to be sound than those that wait since hosts
		// began to crash.
		e.laxity = -j.arrived
	}
	if j.overRate || e.rank == rankTooLate && s.options.Features.Admission {
		e.rank += overRateOffset
	}
	if j.suspected && !g.waitsLong(s.now) {
		e.rank = rankSuspected
	}
	return e
}
