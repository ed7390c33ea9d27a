package preempt

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// TestVictims guards against preemption of tasks that is not needed or not allowed.
func TestVictims(t *testing.T) {
	core := func(n int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * n} }
	run := func(cores int64, lost time.Duration) plan.Running {
		return plan.Running{Size: core(cores), LostWork: lost, Stoppable: true}
	}
	fixed, ending := run(8, 0), run(4, 0)
	fixed.Stoppable, ending.Stopping = false, true
	for _, c := range []struct {
		name    string
		need    int64
		running []plan.Running
		want    []int
		ok      bool
	}{
		{"least lost work first", 2, []plan.Running{run(2, 9), run(2, 1)}, []int{1}, true},
		{"small tasks that are not needed are not stopped", 4, []plan.Running{run(1, 1), run(4, 2)}, []int{1}, true},
		{"tasks that are already ending come first", 4, []plan.Running{run(4, 1), ending}, []int{1}, true},
		{"tasks that are not stoppable are not selected", 8, []plan.Running{fixed, run(4, 1)}, nil, false},
	} {
		d, ok := Policy{}.Victims(core(c.need), resource.Vector{}, c.running)
		if ok != c.ok || !slices.Equal(d.Tasks, c.want) {
			t.Errorf("%s: got %v %t, want %v %t", c.name, d.Tasks, ok, c.want, c.ok)
		}
	}
}
