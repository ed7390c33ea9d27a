package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// lane holds the waiting jobs of one team, class and shape, in order.
type lane struct {
	key   laneKey
	queue *queue
	team  *team
	shape *shape
	jobs  jobHeap
	cost  int64
	// slot is the position in the list of all lanes of the queue.
	slot int
	// first is the first job while the lane is listed.
	first  *job
	listed bool
	// overLimit is set while the limit has no room for one start.
	overLimit bool
	// reservations counts the reservations of an urgent lane.
	reservations int
	nextPreempt  time.Duration
}

type laneKey struct {
	shape      *shape
	class      work.Class
	idempotent bool
}

// top returns the first job with a startable task, or nil.
func (l *lane) top() *job {
	for len(l.jobs) > 0 {
		j := l.jobs[0]
		if j.lane == l && j.placeable() {
			return j
		}
		heap.Pop(&l.jobs)
		if j.lane == l {
			j.inLane = false
		}
	}
	return nil
}

// placeable reports whether a task, or for a gang all of them, can be started.
func (j *job) placeable() bool {
	if !j.open() {
		return false
	}
	_, t := j.next()
	return t != nil
}

// open reports whether j has tasks to place; a gang needs all of them.
func (j *job) open() bool {
	return !j.closed && !j.uncertain && j.waiting > 0 && (j.spec.Kind != work.Gang || j.waiting == j.pending)
}

// enter puts a job into the lane of its class and shape.
func (s *Scheduler) enter(j *job) {
	if !j.open() || j.spanning {
		return
	}
	k := shapeKey{size: j.spec.Size, kind: j.spec.Kind, count: 1}
	if j.spec.Kind == work.Gang {
		k.count = j.pending
	}
	l := s.lane(j.team, laneKey{shape: s.shape(k), class: j.spec.Class, idempotent: j.spec.Idempotent})
	if j.inLane && j.lane == l {
		return
	}
	j.lane, j.inLane = l, true
	heap.Push(&l.jobs, j)
	s.relist(l)
	s.watchAge(j, j.progress+s.contract.Policy.MaxWait)
}

func (s *Scheduler) lane(t *team, k laneKey) *lane {
	q := &t.queues[k.class]
	l := q.byKey[k]
	if l == nil {
		l = &lane{key: k, queue: q, team: t, shape: k.shape, slot: len(q.lanes)}
		l.price()
		q.byKey[k] = l
		q.lanes = append(q.lanes, l)
		k.shape.lanes = append(k.shape.lanes, l)
	}
	return l
}

// price sets the units that one start of the lane takes.
func (l *lane) price() {
	l.cost = 0
	if lim := l.team.limit; lim != nil {
		l.cost = lim.cost(l.shape.key.size) * int64(l.shape.key.count)
	}
}

// drop removes an empty lane, and its shape with the last lane.
func (s *Scheduler) drop(l *lane) {
	delete(l.queue.byKey, l.key)
	q := l.queue
	last := q.lanes[len(q.lanes)-1]
	q.lanes[l.slot], last.slot = last, l.slot
	q.lanes[len(q.lanes)-1] = nil
	q.lanes = q.lanes[:len(q.lanes)-1]
	i := slices.Index(l.shape.lanes, l)
	l.shape.lanes = slices.Delete(l.shape.lanes, i, i+1)
	if len(l.shape.lanes) == 0 {
		s.unblock(l.shape)
		delete(s.shapes, l.shape.key)
	}
}

// jobHeap orders jobs by queue priority, then by their order, then by name.
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
	if j.order != k.order {
		return j.order < k.order
	}
	return j.spec.ID < k.spec.ID
}
