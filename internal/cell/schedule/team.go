package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// team is a client account and what it has present on hosts.
type team struct {
	name   string
	weight float64
	limit  resource.Vector
	used   resource.Vector
	// urgent is the part of used that queues of the first priority have, and peak
	// its largest value of late.
	urgent, peak resource.Vector
	peakAt       time.Duration
	// credit is how many submissions the team may still send at its rate.
	credit   float64
	creditAt time.Duration
}

// rateWindow is the time over which a team's rate is averaged.
const rateWindow = 5 * time.Second

// take uses the credit for one submission and reports whether there was some.
func (t *team) take(now time.Duration) bool {
	if t.weight <= 0 {
		return true
	}
	most := t.weight * rateWindow.Seconds()
	t.credit = min(t.credit+t.weight*(now-t.creditAt).Seconds(), most)
	t.creditAt = now
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// urgentMemory is the time in which the peak of a team's urgent work is
// forgotten, and urgentShare bounds what is kept for it.
const (
	urgentMemory = 10 * time.Second
	urgentShare  = 4
)

// add counts what a task of a queue has present; a negative sign takes it off.
func (t *team) add(size resource.Vector, urgent bool, sign int64, now time.Duration) {
	t.used = t.used.Add(size.Scale(sign))
	if !urgent {
		return
	}
	t.urgent = t.urgent.Add(size.Scale(sign))
	if t.urgent.MilliCPU >= t.peak.MilliCPU || now > t.peakAt+urgentMemory {
		t.peak, t.peakAt = t.urgent, now
	}
}

// room returns how many more tasks of a size the team may run. Work that is not
// urgent leaves room under the limit for the urgent work of late, which would
// otherwise wait until long tasks end.
func (t *team) room(size resource.Vector, urgent bool) int {
	n := int64(1 << 20)
	for i := range resource.Dimensions {
		limit := t.limit.At(i)
		if limit == 0 || size.At(i) == 0 {
			continue
		}
		if !urgent && t.used != t.urgent {
			limit -= min(max(t.peak.At(i)-t.urgent.At(i), 0), limit/urgentShare)
		}
		n = min(n, (limit-t.used.At(i))/size.At(i))
	}
	return int(max(n, 0))
}
