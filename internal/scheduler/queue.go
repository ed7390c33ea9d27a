package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// maxExaminedGroups bounds the job groups that one Decide examines; the next
// Decide continues. It is above the 20,000 that one pass over all queues of a
// full shard takes.
const maxExaminedGroups = 1 << 15

// classQueue holds the job groups of one team and priority class.
type classQueue struct {
	groups []*jobGroup
	byKey  map[groupKey]*jobGroup
	// listed holds the groups that have a startable job and do not wait for the
	// limit, in the order of their first jobs.
	listed []listedGroup
	// unblocked counts the listed groups whose requirements are not blocked.
	unblocked int
	// searchFrom is the position in listed before which no group can be placed.
	// It is valid while seenVersion equals Scheduler.roomVersion.
	searchFrom  int
	seenVersion uint64
	// lowestOrderTime is at most the orderTime of each listed job.
	lowestOrderTime time.Duration
}

// listedGroup is an entry of classQueue.listed. Its size is a copy, so that a
// search reads memory sequentially.
type listedGroup struct {
	size  resource.Vector
	group *jobGroup
}

// firstPlaceable returns the first group that may be placed, or nil. It skips
// groups for which no host has free capacity and those whose starts are paused.
func (q *classQueue) firstPlaceable(s *Scheduler) *jobGroup {
	if q.seenVersion != s.roomVersion {
		q.searchFrom, q.seenVersion = 0, s.roomVersion
	}
	for q.searchFrom < len(q.listed) {
		if s.examinedGroups++; s.examinedGroups > maxExaminedGroups {
			return nil
		}
		e := &q.listed[q.searchFrom]
		if q.unblocked == 0 && !e.size.Fits(s.maxFreed) {
			q.searchFrom++
			continue
		}
		g := e.group
		if !s.mayFit(g.requirement) || (s.paused.NonIdempotent && !g.key.idempotent) {
			q.searchFrom++
			continue
		}
		if g.firstJob() == g.first {
			return g
		}
		s.relistGroup(g)
	}
	return nil
}

// minOrderTime returns a value that is at most the orderTime of each listed
// job, and whether there is one.
func (q *classQueue) minOrderTime() (order time.Duration, ok bool) {
	if len(q.listed) == 0 {
		return 0, false
	}
	head, tail := q.listed[0].group.first, q.listed[len(q.listed)-1].group.first
	if head.priority == tail.priority {
		return head.orderTime, true
	}
	return q.lowestOrderTime, true
}

// position returns the index in listed at which a group with first job j is or
// belongs.
func (q *classQueue) position(j *job) int {
	return sort.Search(len(q.listed), func(i int) bool { return !q.listed[i].group.first.before(j) })
}

// relistGroup updates the position of a group after its first job may have
// changed. An empty group is removed.
func (s *Scheduler) relistGroup(g *jobGroup) {
	if g.queue.byKey[g.key] != g {
		return
	}
	t := g.firstJob()
	if g.listed && (t != g.first || g.waitsForLimit) {
		s.unlistGroup(g)
	}
	switch {
	case t == nil && g.reservations == 0 && !g.waitsForLimit:
		s.removeGroup(g)
	case t != nil && !g.listed && !g.waitsForLimit:
		s.listGroup(g, t)
	}
}

func (s *Scheduler) listGroup(g *jobGroup, first *job) {
	q := g.queue
	i := q.position(first)
	q.listed = slices.Insert(q.listed, i, listedGroup{size: g.requirement.key.size, group: g})
	g.first, g.listed = first, true
	q.searchFrom = min(q.searchFrom, i)
	if len(q.listed) == 1 || first.orderTime < q.lowestOrderTime {
		q.lowestOrderTime = first.orderTime
	}
	req := g.requirement
	if !req.blocked {
		q.unblocked++
	}
	if req.listed++; req.listed > 1 {
		return
	}
	if !req.blocked {
		s.addUnblocked(req)
	}
	if !req.gang() {
		s.waitingRequirements.add(req)
	}
}

func (s *Scheduler) unlistGroup(g *jobGroup) {
	q := g.queue
	i := q.position(g.first)
	q.listed = slices.Delete(q.listed, i, i+1)
	g.first, g.listed = nil, false
	if i < q.searchFrom {
		q.searchFrom--
	}
	req := g.requirement
	if !req.blocked {
		q.unblocked--
	}
	if req.listed--; req.listed > 0 {
		return
	}
	if !req.blocked {
		s.removeUnblocked(req)
	}
	if !req.gang() {
		s.waitingRequirements.remove(req)
	}
}

// relistAll restores the order of all groups after a change of queue
// priorities.
func (s *Scheduler) relistAll(q *classQueue) {
	slices.SortFunc(q.listed, func(a, b listedGroup) int {
		if a.group.first.before(b.group.first) {
			return -1
		}
		return 1
	})
	q.searchFrom = 0
	for _, g := range slices.Clone(q.groups) {
		s.relistGroup(g)
	}
}
