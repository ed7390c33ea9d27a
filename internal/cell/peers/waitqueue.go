package peers

import "container/heap"

// waiter is an advice request that waits for an endpoint.
type waiter struct {
	long     bool
	priority int
	// arrival numbers the requests in the order of their arrival.
	arrival int64
	granted chan *endpoint
	// index is the position in the queue, -1 when the request no longer waits.
	index int
}

// before reports whether a waiter is served before another one.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.arrival < o.arrival
}

// waitQueue holds the waiting requests that need the same kind of capacity, ordered
// by priority, and by arrival within a priority.
type waitQueue struct{ list waiterHeap }

func (q *waitQueue) len() int { return len(q.list) }

func (q *waitQueue) push(w *waiter) { heap.Push(&q.list, w) }

// first returns the waiter that is served next, nil if there is none.
func (q *waitQueue) first() *waiter {
	if len(q.list) == 0 {
		return nil
	}
	return q.list[0]
}

// remove removes a waiter. It reports false if the waiter is not in the queue.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.list, w.index)
	return true
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, k int) bool { return h[i].before(h[k]) }

func (h waiterHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
