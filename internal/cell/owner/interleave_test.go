package owner

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// simulate plays a plan in virtual time and returns its simulation.
func simulate(t *testing.T, p plan, logTo io.Writer) (s *simulation) {
	synctest.Test(t, func(*testing.T) {
		s = newSimulation(p, logTo)
		s.play()
	})
	return s
}

// Guards against a task that runs twice, or starts after it is done, through a series of owners
// that are killed, late, frozen or deposed, and hosts that are cut off or crash.
func TestNoTaskRunsTwiceThroughASeriesOfOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		s := simulate(t, p, io.Discard)
		if len(s.ledger.violations) > 0 {
			rt.Fatalf("%s\n%+v\n%s", s.ledger.violations[0], p, strings.Join(s.ledger.trace, "\n"))
		}
	})
}
