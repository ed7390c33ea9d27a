package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against a gang that is cleared by members on other hosts while the host of a
// member is down, and against a sound one that fails since hosts crashed by themselves,
// each of them under another member.
func TestGangFailsForCrashesUnderTheSameMember(t *testing.T) {
	for _, c := range []struct {
		name    string
		members []int
		want    cell.State
	}{
		{"another member each time", []int{0, 1}, cell.Active},
		{"the same member twice", []int{0, 1, 0}, cell.Failed},
		{"the same member again", []int{1, 1}, cell.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := crashCluster(8)
			step := smallStep(2, time.Hour)
			step.Gang, step.MaxPerHost = true, 1
			cl.submit("gang", "q", "a", step)
			until := func(reached func() bool) {
				for i := 0; i < 1000 && !reached(); i++ {
					cl.advance(10 * time.Millisecond)
				}
			}
			g := cl.s.jobs["gang"].groups[0]
			for n, member := range c.members {
				until(func() bool { return cl.running("gang") == step.Count })
				cl.crash(g.tasks[member].runs[0].host.spec.ID)
				until(func() bool { return len(g.tasks[0].evidence.Confirmed) > n })
			}
			cl.advance(10 * time.Millisecond)
			if got := cl.state["gang"]; got != c.want {
				t.Errorf("the gang is %s, want %s", got, c.want)
			}
		})
	}
}
