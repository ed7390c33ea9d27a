package scheduler

import (
	"container/heap"
	"time"
)

type timerKind uint8

const (
	timerEscalate timerKind = iota
	timerDelayEnd
	timerRetry
	timerOffer
	timerAge
	timerHeldExpiry
	timerGangSearch
	timerQuarantine
	timerGangDeadline
)

// timer is an event that is due at a clock value.
type timer struct {
	at          time.Duration
	seq         uint64
	kind        timerKind
	index       int32
	attempt     *attempt
	job         *job
	requirement *requirement
	host        *host
}

// timers is a heap ordered by due time; seq keeps the order of equal times.
type timers struct {
	list []timer
	seq  uint64
}

func (t *timers) add(n timer) {
	t.seq++
	n.seq = t.seq
	t.list = append(t.list, n)
	(*timerHeap)(&t.list).up(len(t.list) - 1)
}

// popDue removes and returns the first timer that is due at now.
func (t *timers) popDue(now time.Duration) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	first := t.list[0]
	last := len(t.list) - 1
	t.list[0], t.list[last] = t.list[last], timer{}
	t.list = t.list[:last]
	if last > 0 {
		heap.Fix((*timerHeap)(&t.list), 0)
	}
	return first, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || (h[a].at == h[b].at && h[a].seq < h[b].seq)
}
func (h timerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push and Pop complete heap.Interface. add and popDue do not call them, since
// passing a timer as an interface value would allocate.
func (h *timerHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any { return nil }

func (h timerHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.Less(i, p) {
			return
		}
		h.Swap(i, p)
		i = p
	}
}
