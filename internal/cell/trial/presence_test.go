package trial

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

// Guards against a task that is cleared by the time for which its host was out of reach, before
// its run is known to be present, or too soon for a task that crashes its host late.
func TestPresenceClearsATask(t *testing.T) {
	const since = time.Minute
	present := Presence{Running: true, Since: since, AnsweredAt: since, InTouch: true}
	silent := present
	silent.InTouch = false
	gone := present
	gone.Running = false
	for name, c := range map[string]struct {
		p    Presence
		late bool
		now  time.Duration
		want bool
	}{
		"too short":            {present, false, since + Duration - 1, false},
		"long enough":          {present, false, since + Duration, true},
		"too short for a late": {present, true, since + LateDuration - 1, false},
		"late":                 {present, true, since + LateDuration, true},
		"out of reach":         {silent, false, since + time.Hour, false},
		"not running":          {gone, false, since + time.Hour, false},
	} {
		if got := c.p.SurvivedTrial(c.late, c.now); got != c.want {
			t.Errorf("%s: it survived: %t", name, got)
		}
	}
	if present.Settled(since+crash.Window-1) || !present.Settled(since+crash.Window) || (Presence{}).Settled(since) {
		t.Error("a run that may be the cause of a crash counts as settled, or one that cannot does not")
	}
}
