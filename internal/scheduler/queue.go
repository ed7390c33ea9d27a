package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// laneBudget bounds the lanes that one Decide looks at; the next one carries on.
// It is above the 20,000 that one round over all queues of a full shard takes.
const laneBudget = 1 << 15

// queue holds the lanes of one class of a team.
type queue struct {
	lanes []*lane
	byKey map[laneKey]*lane
	// listed has the lanes with a startable job and room in the limit, in the
	// order of their first jobs.
	listed []entry
	// untried counts the listed lanes whose shapes are not blocked.
	untried int
	// from is the first lane in the list that may be placed, as long as
	// Scheduler.growth is seen.
	from int
	seen uint64
	// oldest is at most the order of each listed job.
	oldest time.Duration
}

// entry is a listed lane. Its size is a copy, so that a search reads memory in
// sequence.
type entry struct {
	size resource.Vector
	lane *lane
}

// choose returns the lane that goes first, or nil. Lanes without room on the
// hosts or in the limit, and those that are paused, are left out.
func (q *queue) choose(s *Scheduler) *lane {
	if q.seen != s.growth {
		q.from, q.seen = 0, s.growth
	}
	for q.from < len(q.listed) {
		if s.examined++; s.examined > laneBudget {
			return nil
		}
		e := &q.listed[q.from]
		if q.untried == 0 && !e.size.Fits(s.openMax) {
			q.from++
			continue
		}
		l := e.lane
		if !s.candidate(l.shape) || (s.paused.NonIdempotent && !l.key.idempotent) {
			q.from++
			continue
		}
		if l.top() == l.first {
			return l
		}
		s.relist(l)
	}
	return nil
}

// first returns a value that is at most the order of each listed job.
func (q *queue) first() (order time.Duration, ok bool) {
	if len(q.listed) == 0 {
		return 0, false
	}
	head, tail := q.listed[0].lane.first, q.listed[len(q.listed)-1].lane.first
	if head.priority == tail.priority {
		return head.order, true
	}
	return q.oldest, true
}

// position returns where a lane with first job j is or belongs.
func (q *queue) position(j *job) int {
	return sort.Search(len(q.listed), func(i int) bool { return !q.listed[i].lane.first.before(j) })
}

// relist puts a lane where its first job belongs. An empty lane is dropped.
func (s *Scheduler) relist(l *lane) {
	if l.queue.byKey[l.key] != l {
		return
	}
	t := l.top()
	if l.listed && (t != l.first || l.overLimit) {
		s.unlist(l)
	}
	switch {
	case t == nil && l.reservations == 0 && !l.overLimit:
		s.drop(l)
	case t != nil && !l.listed && !l.overLimit:
		s.list(l, t)
	}
}

func (s *Scheduler) list(l *lane, first *job) {
	q := l.queue
	i := q.position(first)
	q.listed = slices.Insert(q.listed, i, entry{size: l.shape.key.size, lane: l})
	l.first, l.listed = first, true
	q.from = min(q.from, i)
	if len(q.listed) == 1 || first.order < q.oldest {
		q.oldest = first.order
	}
	sh := l.shape
	if !sh.blocked {
		q.untried++
	}
	if sh.listed++; sh.listed > 1 {
		return
	}
	if !sh.blocked {
		s.addUntried(sh)
	}
	if !sh.gang() {
		s.wanted.add(sh)
	}
}

func (s *Scheduler) unlist(l *lane) {
	q := l.queue
	i := q.position(l.first)
	q.listed = slices.Delete(q.listed, i, i+1)
	l.first, l.listed = nil, false
	if i < q.from {
		q.from--
	}
	sh := l.shape
	if !sh.blocked {
		q.untried--
	}
	if sh.listed--; sh.listed > 0 {
		return
	}
	if !sh.blocked {
		s.removeUntried(sh)
	}
	if !sh.gang() {
		s.wanted.remove(sh)
	}
}

// reorder lists all lanes anew after a change of priorities.
func (s *Scheduler) reorder(q *queue) {
	slices.SortFunc(q.listed, func(a, b entry) int {
		if a.lane.first.before(b.lane.first) {
			return -1
		}
		return 1
	})
	q.from = 0
	for _, l := range slices.Clone(q.lanes) {
		s.relist(l)
	}
}
