package crash

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against a sound submission that is given up for crashes which others may have caused,
// and against a deadly one that goes on to crash hosts.
func TestCrashesThatProveTheCause(t *testing.T) {
	seen := func(run int64, suspects int, members ...int) cell.Crash {
		return cell.Crash{Run: run, Suspects: suspects, Seen: true, Members: members}
	}
	silent := func(run int64) cell.Crash { return cell.Crash{Run: run, Silent: true} }
	for name, c := range map[string]struct {
		crashes []cell.Crash
		alone   bool
		want    bool
	}{
		"one, alone":                       {[]cell.Crash{seen(1, 1)}, true, false},
		"two, alone on the last":           {[]cell.Crash{seen(1, 9), seen(2, 1)}, true, true},
		"two beside others":                {[]cell.Crash{seen(1, 1), seen(2, 1)}, false, false},
		"two, alone, one start unanswered": {[]cell.Crash{seen(1, 1), {Run: 2, Suspects: 1}}, true, false},
		"three, few others":                {[]cell.Crash{seen(1, 2), seen(2, 2), seen(3, 2)}, false, true},
		"three, many others":               {[]cell.Crash{seen(1, 3), seen(2, 3), seen(3, 2)}, false, false},
		"four silent":                      {[]cell.Crash{silent(1), silent(2), silent(3), silent(4)}, false, false},
		"five silent":                      {[]cell.Crash{silent(1), silent(2), silent(3), silent(4), silent(5)}, false, true},
		"three of different gang members":  {[]cell.Crash{seen(1, 1, 0), seen(2, 1, 1), seen(3, 1, 2)}, true, false},
		"three, two of the same member":    {[]cell.Crash{seen(1, 1, 0), seen(2, 1, 0), seen(3, 1, 2)}, false, true},
	} {
		e := Evidence{Confirmed: c.crashes}
		if got := e.Proves(c.alone); got != c.want {
			t.Errorf("%s: it is proven: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against a submission that is given up, or not suspected, for crashes that nobody has
// confirmed, and against one that counts twice.
func TestUnconfirmedCrashesOnlySuspect(t *testing.T) {
	var e Evidence
	for run := range int64(2) {
		if e.Suspects() {
			t.Errorf("%d crashes long after the start make a task suspected", run)
		}
		e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: run, Suspects: 2, Seen: true}, Host: cell.HostInstance{ID: "h"}}, 0)
	}
	if !e.Suspects() || !e.Late() || e.Proves(true) || e.Blame() != 1 {
		t.Errorf("suspected %t, late %t, proven %t, blame %g", e.Suspects(), e.Late(), e.Proves(true), e.Blame())
	}
	e.Add(cell.Crash{Run: 1, Suspects: 2, Seen: true})
	if e.Blame() != 1 {
		t.Errorf("the blame is %g after one crash was confirmed", e.Blame())
	}
	recent := Evidence{Confirmed: []cell.Crash{{Run: 1, Recent: true, Suspects: 1}}}
	if !recent.Suspects() || recent.Late() {
		t.Error("a crash right after the start does not make the task suspected, or makes it a late cause")
	}
	silent := Evidence{Confirmed: []cell.Crash{{Run: 1, Silent: true}, {Run: 2, Silent: true}}}
	if silent.Suspects() || silent.Blame() != 0 {
		t.Error("crashes of silent hosts make a task suspected")
	}
}

// Guards against further crashes while it would be proven if those so far were confirmed, and
// against a task that waits for a host which never answers.
func TestConfirmationIsAwaitedForABoundedTime(t *testing.T) {
	e := Evidence{Confirmed: []cell.Crash{{Run: 1}}}
	for run := range int64(MaxCrashes - 1) {
		if e.AwaitsConfirmation(0) {
			t.Errorf("a task waits after %d crashes", run+1)
		}
		e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 2 + run}}, time.Second)
	}
	if !e.AwaitsConfirmation(time.Second + confirmationTimeout - 1) {
		t.Error("a task starts again though too many hosts may have crashed")
	}
	if e.AwaitsConfirmation(time.Second + confirmationTimeout) {
		t.Error("a task waits for longer than the bound")
	}
}
