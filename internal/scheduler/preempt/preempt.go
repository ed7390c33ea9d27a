// Package preempt selects the running tasks to preempt for urgent work. It must
// never select a task that is not stoppable.
package preempt

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// Policy selects the tasks with the least lost work and no task that is not needed.
type Policy struct{}

// Victims implements plan.Preempt. Tasks that are already ending come first and
// cost nothing. Of the others, a single task that is sufficient is preferred.
func (Policy) Victims(need, free resource.Vector, running []plan.Running) (plan.TaskSelection, bool) {
	d, room := plan.TaskSelection{}, free
	var order []int
	for i := range running {
		switch {
		case running[i].Stopping:
			d.Tasks = append(d.Tasks, i)
			room = room.Add(running[i].Size)
		case running[i].Stoppable:
			order = append(order, i)
		}
	}
	if need.Fits(room) {
		return d, true
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(min(max(running[a].LostWork-running[b].LostWork, -1), 1))
	})
	var chosen []int
	for _, i := range order {
		chosen = append(chosen, i)
		room = room.Add(running[i].Size)
		if need.Fits(room) {
			break
		}
	}
	if !need.Fits(room) {
		return plan.TaskSelection{}, false
	}
	for k := len(chosen) - 1; k >= 0; k-- {
		if less := room.Sub(running[chosen[k]].Size); need.Fits(less) {
			room = less
			chosen = slices.Delete(chosen, k, k+1)
		}
	}
	for _, i := range chosen {
		d.Cost += running[i].LostWork
	}
	d.Tasks = append(d.Tasks, chosen...)
	return d, true
}
