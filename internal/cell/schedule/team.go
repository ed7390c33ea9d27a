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

// fits reports whether the team may run more of a size n times.
func (t *team) fits(size resource.Vector, n int) bool {
	return t.room(size) >= n
}

// room returns how many more tasks of a size the team may run.
func (t *team) room(size resource.Vector) int {
	n := int64(1 << 20)
	for i := range resource.Dimensions {
		if t.limit.At(i) > 0 && size.At(i) > 0 {
			n = min(n, (t.limit.At(i)-t.used.At(i))/size.At(i))
		}
	}
	return int(max(n, 0))
}
