package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// jobGroup holds the waiting jobs of one team that have the same class,
// requirement and idempotence, in order. All of them need the same capacity, so
// only the first is tried.
type jobGroup struct {
	key         groupKey
	queue       *classQueue
	team        *team
	requirement *requirement
	jobs        jobHeap
	cost        int64
	// index is the position in classQueue.groups.
	index int
	// first is the first job while the group is listed.
	first  *job
	listed bool
	// waitsForLimit is set while the limit does not allow one start.
	waitsForLimit bool
	// reservations counts the reservations for urgent starts of the group.
	reservations int
	nextPreempt  time.Duration
}

type groupKey struct {
	requirement *requirement
	class       work.Class
	idempotent  bool
}

// firstJob returns the first job with a startable task, or nil.
func (g *jobGroup) firstJob() *job {
	for len(g.jobs) > 0 {
		j := g.jobs[0]
		if j.group == g && j.hasStartable() {
			return j
		}
		heap.Pop(&g.jobs)
		if j.group == g {
			j.inGroup = false
		}
	}
	return nil
}

// hasStartable reports whether a task of j, or all tasks of a gang, can be
// started.
func (j *job) hasStartable() bool {
	if !j.schedulable() {
		return false
	}
	_, t := j.nextTask()
	return t != nil
}

// schedulable reports whether j has tasks to place; a gang needs all of its
// tasks.
func (j *job) schedulable() bool {
	return !j.closed && !j.mayHaveUnadoptedAttempts && j.waiting > 0 && (j.spec.Kind != work.Gang || j.waiting == j.pending)
}

// enqueue adds a job to the group of its class and requirement.
func (s *Scheduler) enqueue(j *job) {
	if !j.schedulable() || j.spanning {
		return
	}
	k := requirementKey{size: j.spec.Size, kind: j.spec.Kind, count: 1}
	if j.spec.Kind == work.Gang {
		k.count = j.pending
	}
	g := s.jobGroup(j.team, groupKey{requirement: s.requirement(k), class: j.spec.Class, idempotent: j.spec.Idempotent})
	if j.inGroup && j.group == g {
		return
	}
	j.group, j.inGroup = g, true
	heap.Push(&g.jobs, j)
	s.relistGroup(g)
	s.watchAge(j, j.lastProgress+s.contract.Policy.MaxWait)
}

func (s *Scheduler) jobGroup(t *team, k groupKey) *jobGroup {
	q := &t.queues[k.class]
	g := q.byKey[k]
	if g == nil {
		g = &jobGroup{key: k, queue: q, team: t, requirement: k.requirement, index: len(q.groups)}
		g.updateCost()
		q.byKey[k] = g
		q.groups = append(q.groups, g)
		k.requirement.groups = append(k.requirement.groups, g)
	}
	return g
}

// updateCost sets the units that one start of the group takes in the limit.
func (g *jobGroup) updateCost() {
	g.cost = 0
	if lim := g.team.limit; lim != nil {
		g.cost = lim.cost(g.requirement.key.size) * int64(g.requirement.key.count)
	}
}

// removeGroup removes an empty group, and its requirement with the last group.
func (s *Scheduler) removeGroup(g *jobGroup) {
	delete(g.queue.byKey, g.key)
	q := g.queue
	last := q.groups[len(q.groups)-1]
	q.groups[g.index], last.index = last, g.index
	q.groups[len(q.groups)-1] = nil
	q.groups = q.groups[:len(q.groups)-1]
	i := slices.Index(g.requirement.groups, g)
	g.requirement.groups = slices.Delete(g.requirement.groups, i, i+1)
	if len(g.requirement.groups) == 0 {
		s.unblock(g.requirement)
		delete(s.requirements, g.requirement.key)
	}
}

// jobHeap orders jobs by queue priority, then by orderTime, then by ID.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(a, b int) bool { return h[a].before(h[b]) }
func (h jobHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

func (j *job) before(k *job) bool {
	if j.priority != k.priority {
		return j.priority > k.priority
	}
	if j.orderTime != k.orderTime {
		return j.orderTime < k.orderTime
	}
	return j.spec.ID < k.spec.ID
}
