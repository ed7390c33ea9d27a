// Package batch is the placement policy of batch tasks. It packs tasks onto hosts
// and keeps hosts with accelerators free for tasks that need them.
package batch

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// acceleratorPenalty outweighs every difference in packing, so that a task that
// needs no accelerator is placed on a host with accelerators only if no other
// host fits.
const acceleratorPenalty = 1 << 40

// Policy is the placement policy of batch tasks.
type Policy struct{}

// Admits implements plan.Filter.
func (Policy) Admits(r *plan.Request, h *plan.Host) bool { return r.Size.Fits(h.Free) }

// Score implements plan.Score. The capacity that stays free after the placement is
// measured in thousandths of the host's capacity and summed over processors and
// memory. With packing, an imbalance between the two lowers the score, since the
// resource of which more is left would be stranded.
func (Policy) Score(r *plan.Request, h *plan.Host) int64 {
	remaining := h.Free.Sub(r.Size)
	low, high, sum := int64(1000), int64(0), int64(0)
	for i := range 2 {
		if h.Capacity.At(i) > 0 {
			permille := remaining.At(i) * 1000 / h.Capacity.At(i)
			low, high, sum = min(low, permille), max(high, permille), sum+permille
		}
	}
	score := sum*int64(100-r.Packing) - sum*int64(r.Packing) - (high-low)*int64(r.Packing)/2
	if h.Capacity.Accelerators > 0 && r.Size.Accelerators == 0 {
		score -= acceleratorPenalty
	}
	return score
}

// Drain implements plan.Reserve. It selects the tasks that are expected to end
// first, and then leaves out those that are not needed for the request to fit.
func (Policy) Drain(need, free resource.Vector, running []plan.Running) (plan.TaskSelection, bool) {
	order := make([]int, 0, len(running))
	for i := range running {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(min(max(running[a].Remaining-running[b].Remaining, -1), 1))
	})
	d, room := plan.TaskSelection{}, free
	for _, i := range order {
		if need.Fits(room) {
			break
		}
		d.Tasks = append(d.Tasks, i)
		room = room.Add(running[i].Size)
	}
	if !need.Fits(room) {
		return plan.TaskSelection{}, false
	}
	for k := len(d.Tasks) - 1; k >= 0; k-- {
		if less := room.Sub(running[d.Tasks[k]].Size); need.Fits(less) {
			room = less
			d.Tasks = slices.Delete(d.Tasks, k, k+1)
		}
	}
	d.Cost = longestRemaining(running, d.Tasks)
	return d, true
}

func longestRemaining(running []plan.Running, tasks []int) time.Duration {
	var d time.Duration
	for _, i := range tasks {
		d = max(d, running[i].Remaining)
	}
	return d
}
