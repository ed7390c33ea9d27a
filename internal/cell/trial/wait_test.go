package trial

import (
	"testing"
	"time"
)

// Guards against a suspect that waits for good: for empty hosts, for hosts of its own, or since
// its place in the line is lost in each decision.
func TestWaitForATrialIsBounded(t *testing.T) {
	var w Wait
	const begin = time.Hour
	if w.Requeue(begin); w.Since != 0 || w.Long(begin) {
		t.Error("a suspect that does not wait waits")
	}
	w.Begin(begin)
	w.Begin(begin + time.Second)
	if w.Since != begin || w.Long(begin+MaxIdleHostWait-1) || !w.Long(begin+MaxIdleHostWait) {
		t.Errorf("the wait began at %s", w.Since)
	}
	if w.GivesUp(begin+2*MaxIdleHostWait-1) || !w.GivesUp(begin+2*MaxIdleHostWait) {
		t.Error("a suspect is given up too soon or too late")
	}
	for name, c := range map[string]struct {
		first, suspected bool
		lastChosen, now  time.Duration
		want             bool
	}{
		"first, others chosen":         {true, true, begin, begin + maxEmptyHostWait - 1, false},
		"first, none chosen":           {true, true, begin, begin + maxEmptyHostWait, true},
		"another one, none chosen":     {false, true, begin, begin + maxEmptyHostWait, false},
		"confined queue, none chosen":  {false, false, begin, begin + maxEmptyHostWait, true},
		"first, waits for very long":   {true, true, begin + maxSoonEmptyWait, begin + maxSoonEmptyWait, true},
		"another one, waits very long": {false, true, begin + maxSoonEmptyWait, begin + maxSoonEmptyWait, false},
	} {
		if got := w.MayAwaitHosts(c.first, c.suspected, c.lastChosen, c.now); got != c.want {
			t.Errorf("%s: it may await hosts: %t", name, got)
		}
	}
	if w.Requeue(begin + 5*time.Second); w.Since != begin+5*time.Second {
		t.Error("a suspect that did not use its hosts keeps its place")
	}
}
