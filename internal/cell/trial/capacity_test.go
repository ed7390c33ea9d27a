package trial

import "testing"

// Guards against trials that take hosts which other work needs, and against none at all.
func TestHostsThatTrialsMayHold(t *testing.T) {
	for name, c := range map[string]struct {
		inService, idle, crashed, usable int
		unused                           float64
		want                             int
	}{
		"a small cell, full":             {3, 0, 0, 3, 0, 1},
		"a large cell, full":             {80, 0, 0, 80, 0, 20},
		"many are down":                  {80, 0, 15, 65, 0, 10},
		"idle but for a reserve":         {80, 40, 0, 80, 40, 30},
		"all idle: half of the capacity": {8, 8, 8, 8, 8, 7},
		"little used":                    {80, 0, 20, 80, 70, 30},
	} {
		capacity := Capacity{Crashed: c.crashed}
		for i := range c.usable {
			capacity.AddUsable(i < c.idle, c.unused/float64(c.usable))
		}
		if got := capacity.MaxHosts(c.inService); got != c.want {
			t.Errorf("%s: %d hosts, want %d", name, got, c.want)
		}
	}
}
