package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// takeOver replaces the owner n times in a row, at moments at which all hosts answer. The
// orders of each of these owners but the last may be lost with it.
func (c *cluster) takeOver(t *rapid.T, n int) {
	for range n {
		for c.anyUnreachable() {
			c.advance(100 * time.Millisecond)
		}
		lost := rapid.IntRange(0, 3).Draw(t, "lost orders")
		c.decide(func(Start) int {
			if lost == 0 {
				return 0
			}
			lost--
			return 2
		})
		for c.anyUnreachable() { // a task has crashed its host
			c.now += 100 * time.Millisecond
			c.restartCrashed()
		}
		c.replaceOwner()
		c.s.MarkReconciled(c.now)
		c.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms as owner")) * time.Millisecond
	}
}

// Guards against submissions that stay behind, and sound ones that fail, after any number
// of takeovers in a row, although all hosts answer.
func TestEachSubmissionEndsAfterSeriesOfTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := crashCluster(rapid.IntRange(3, 12).Draw(t, "hosts"))
		jobs := 0
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				c.takeOver(t, rapid.IntRange(1, 8).Draw(t, "takeovers"))
			} else {
				jobs++
				name := rapid.SampledFrom([]string{"sound", "sound", "sound", "deadly"}).Draw(t, "kind")
				step := smallStep(rapid.IntRange(1, 6).Draw(t, "tasks"), time.Duration(rapid.IntRange(300, 4000).Draw(t, "estimate"))*time.Millisecond)
				step.Gang = rapid.Bool().Draw(t, "gang")
				c.submit(fmt.Sprintf("%s%02d", name, jobs), "q", "a", step)
			}
			c.advance(time.Duration(rapid.IntRange(5, 900).Draw(t, "ms")) * time.Millisecond)
		}
		if !c.stepUntilFinished(3000, 100*time.Millisecond) {
			t.Error("submissions are open after 300 s")
		}
		checkCrashes(t, c)
	})
}
