package owner

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// Guards against gauges that do not follow the room for gangs.
func TestGangRoomMetrics(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newGangRoomMetrics(scope)
	m.set(schedule.GangRoom{Gathering: 2, ReservedMilliCPU: 126_500})
	m.set(schedule.GangRoom{Gathering: 1, ReservedMilliCPU: 64_000})
	shot := scope.Snapshot()
	for name, want := range map[string]float64{"gangs_gathering+": 1, "gang_reserved_cores+": 64} {
		if got := shot.Gauges()[name]; got == nil || got.Value() != want {
			t.Errorf("%s is %v, want %g", name, got, want)
		}
	}
}
