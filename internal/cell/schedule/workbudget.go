package schedule

import (
	"cmp"
	"slices"
)

const (
	// fullSearches is for how many groups a decision may examine every host; minHeadWork is
	// the least bound, in hosts examined, since few hosts are examined fast. They bound the
	// work for the groups at the head of the queue. That for the others, which take turns, is
	// bounded to one part in restDivisor of it.
	fullSearches = 170
	minHeadWork  = 60_000
	restDivisor  = 3
	// workPerGroup is the work for a group for which no host is examined.
	workPerGroup = 20
)

// workBudget bounds the work of one decision, so that an owner with a long backlog goes
// on deciding often. The groups that come first in the queue are always placed; those
// behind the bound take turns over the decisions, in the order of arrival. A group with very
// many tasks starts as many of them as the bound allows.
type workBudget struct {
	// used is the work of the current decision, in hosts examined.
	used int
	// limit is the work at which the groups that are placed now have to stop.
	limit int
	// groups is how many groups of submissions were examined in the current decision to
	// judge these submissions as a whole.
	groups int
	// pass numbers the decisions.
	pass int64
	// lastTurn is the arrival number of the last job whose turn it was.
	lastTurn int
}

func (b *workBudget) beginPass(limit int) {
	b.used, b.limit = 0, limit
	b.pass++
}

// exhausted reports whether a group has to leave the rest of its tasks to later decisions.
func (b *workBudget) exhausted() bool { return b.used >= b.limit }

// maxHeadWork returns the bound of the work for the groups at the head of the queue.
func (s *Scheduler) maxHeadWork() int { return max(minHeadWork, fullSearches*len(s.sortedHosts)) }

// placeQueue places the groups in the queue as far as the work of one decision goes.
func (s *Scheduler) placeQueue(queue []queueEntry) {
	reservingGangs := 0
	defer func() { s.gangRoom.Gathering = reservingGangs }()
	most := s.maxHeadWork()
	s.work.beginPass(most)
	for i, e := range queue {
		if s.work.exhausted() {
			s.placeInTurn(len(queue)-i, most/restDivisor, &reservingGangs)
			return
		}
		s.placeEntry(e, &reservingGangs)
	}
}

// placeInTurn places the next ones of the groups that were not placed in this decision, of
// which there are left, as far as the given work goes.
func (s *Scheduler) placeInTurn(left, work int, reservingGangs *int) {
	s.work.limit = s.work.used + work
	first, _ := slices.BinarySearchFunc(s.groups, s.work.lastTurn+1, func(g *group, number int) int {
		return cmp.Compare(g.job.arrivalNumber, number)
	})
	for i := 0; i < len(s.groups) && left > 0 && !s.work.exhausted(); i++ {
		g := s.groups[(first+i)%len(s.groups)]
		s.work.lastTurn = g.job.arrivalNumber
		if g.placedIn == s.work.pass || !s.isWaiting(g) {
			continue
		}
		s.placeEntry(s.entry(g), reservingGangs)
		left--
	}
}
