package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// Guards against an owner that exceeds the memory of its process with work that it may hold:
// each owner in turn would.
func TestHeldWorkTakesItsShareOfTheMemory(t *testing.T) {
	const memory = 284 << 20
	for name, sub := range map[string]cell.Submission{
		"wide steps":       {Steps: []cell.Step{{Count: cell.MaxTasks}}},
		"many steps":       {Steps: make([]cell.Step, cell.MaxSteps)},
		"many occurrences": {Steps: []cell.Step{{Count: 1}}, Occurrences: cell.MaxTasks},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range sub.Steps {
				sub.Steps[i].Count = max(sub.Steps[i].Count, 1)
			}
			s := schedule.New(schedule.Options{MaxWeight: MaxWeight(memory)})
			before := heapBytes()
			for i := range 2000 {
				sub := sub
				sub.ID, sub.Team = fmt.Sprintf("%016x", i), fmt.Sprint(i)
				s.Add(&sub, cell.Progress{}, false, time.Hour, time.Hour)
			}
			s.Decide(time.Hour, time.Hour)
			took := heapBytes() - before
			t.Logf("weight %d of %d, %d MiB", s.Dump().Weight, MaxWeight(memory), took>>20)
			if took > memory/2 {
				t.Errorf("the work takes %d MiB, want at most half of the memory of a process", took>>20)
			}
			if got := s.Dump().Weight; got < MaxWeight(memory)/3 {
				t.Errorf("the owner holds a weight of %d, want at least a third of the bound", got)
			}
			runtime.KeepAlive(s)
		})
	}
}

// heapBytes returns the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
