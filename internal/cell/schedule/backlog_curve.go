package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
)

// backlogCurve adds up waiting work by its laxity, in admission.MaxLaxityBounds equal parts of the
// greatest laxity in its queue.
type backlogCurve struct {
	longest time.Duration
	room    *loadRoom
	parts   [admission.MaxLaxityBounds]admission.Amounts
}

func (c *backlogCurve) add(w *waitingWork) {
	part := &c.parts[c.part(w.laxity)]
	for i := range part {
		part[i] += w.work[i]
	}
}

// part returns the first part whose bound is at least a laxity.
func (c *backlogCurve) part(laxity time.Duration) int {
	for i := range c.parts {
		if laxity <= c.bound(i) {
			return i
		}
	}
	return len(c.parts) - 1
}

func (c *backlogCurve) bound(i int) time.Duration {
	return c.longest / time.Duration(len(c.parts)) * time.Duration(i+1)
}

// backlog returns how long the work keeps its room in use.
func (c *backlogCurve) backlog(key backlogKey) admission.Backlog {
	b := admission.Backlog{Team: key.team, Queue: key.queue, Label: key.label}
	var sum admission.Amounts
	for i, part := range c.parts {
		bound := c.bound(i)
		if i == len(c.parts)-1 {
			bound = c.longest
		}
		b.Bounds = append(b.Bounds, (bound + time.Millisecond - 1).Milliseconds()) // rounded up: never counted too early
		for k := range sum {
			sum[k] += part[k]
		}
		if c.room.full[admission.Cores] {
			b.Cores = append(b.Cores, waitMillis(sum[admission.Cores], c.room.capacity[admission.Cores]))
		}
		if c.room.full[admission.Memory] {
			b.Memory = append(b.Memory, waitMillis(sum[admission.Memory], c.room.capacity[admission.Memory]))
		}
	}
	return b
}

// waitMillis returns how long work takes at least with a capacity, in milliseconds.
func waitMillis(work, capacity float64) int64 {
	return int64(min(work/capacity*1000, float64(maxBacklogWait.Milliseconds())))
}
