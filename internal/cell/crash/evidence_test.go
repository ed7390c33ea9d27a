package crash

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against several crashes that count for a gang which lost several hosts at once, and
// against a crash with a known cause that is hidden by one of a silent host.
func TestOneCrashCountsForARun(t *testing.T) {
	silent := cell.Crash{Run: 1, Silent: true, Members: []int{0}}
	inTouch := cell.Crash{Run: 1, Recent: true, Suspects: 1, Members: []int{1}}
	for name, c := range map[string]struct {
		crashes    []cell.Crash
		says       []bool
		wantSilent bool
		members    []int
	}{
		"the same twice":       {[]cell.Crash{silent, silent}, []bool{true, false}, true, []int{0}},
		"silent, then known":   {[]cell.Crash{silent, inTouch}, []bool{true, true}, false, []int{0, 1}},
		"known, then silent":   {[]cell.Crash{inTouch, silent}, []bool{true, true}, false, []int{1, 0}},
		"known, then the same": {[]cell.Crash{inTouch, inTouch}, []bool{true, false}, false, []int{1}},
	} {
		var e Evidence
		for i, o := range c.crashes {
			if got := e.Add(o); got != c.says[i] {
				t.Errorf("%s: crash %d says something new: %t", name, i, got)
			}
		}
		if len(e.Confirmed) != 1 || e.Confirmed[0].Silent != c.wantSilent || !slices.Equal(e.Confirmed[0].Members, c.members) {
			t.Errorf("%s: %+v is counted", name, e.Confirmed)
		}
		if !e.Counts(1, true) || e.Counts(1, false) == c.wantSilent || e.Counts(2, true) {
			t.Errorf("%s: a crash under the run is not known to be counted", name)
		}
	}
}

// Guards against a change of a list of which a stored copy is read meanwhile.
func TestStoredCrashesAreNotChanged(t *testing.T) {
	e := Evidence{Confirmed: []cell.Crash{{Run: 1, Silent: true}, {Run: 2, Suspects: 1}}}
	stored := e.Confirmed
	e.Add(cell.Crash{Run: 1, Suspects: 1})
	e.ForgetBefore(3)
	if !stored[0].Silent || stored[0].Run != 1 || stored[1].Run != 2 {
		t.Errorf("the stored copy is now %+v", stored)
	}
}

// Guards against crashes that add up over the life of a task that crashes no hosts.
func TestEarlierCrashesAreForgotten(t *testing.T) {
	e := Evidence{Confirmed: []cell.Crash{{Run: 1}, {Run: 5}, {Run: 5, Silent: true}}}
	e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 2}}, 0)
	if !e.ForgetBefore(5) || len(e.Confirmed) != 1 || e.Confirmed[0].Silent || len(e.Unconfirmed) != 0 {
		t.Errorf("%+v is left", e)
	}
	if e.ForgetBefore(5) {
		t.Error("crashes are forgotten twice")
	}
}

// Guards against possible crashes that take memory without bound, or count once for each member
// of a gang on a host, and against those of other hosts that are settled with them.
func TestUnconfirmedCrashesAreBounded(t *testing.T) {
	var e Evidence
	a, b := cell.HostInstance{ID: "a", StartedMs: 1}, cell.HostInstance{ID: "b", StartedMs: 1}
	e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 1, Members: []int{0}}, Host: a}, 0)
	if e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 1, Members: []int{1}}, Host: a}, 0) {
		t.Error("two members on one host count twice")
	}
	if got := e.Stored(); len(got) != 1 || !slices.Equal(got[0].Members, []int{0, 1}) {
		t.Errorf("%+v is stored", got)
	}
	e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 2}, Host: b}, 0)
	if got := e.TakeUnconfirmed("a"); len(got) != 1 || len(e.Unconfirmed) != 1 || e.Unconfirmed[0].Host != b {
		t.Errorf("%+v is settled, %+v left", got, e.Unconfirmed)
	}
	for run := range int64(2 * MaxUnconfirmed) {
		e.AddUnconfirmed(cell.UnconfirmedCrash{Crash: cell.Crash{Run: 10 + run}, Host: b}, time.Second)
	}
	if n := len(e.Unconfirmed); n != MaxUnconfirmed || e.Unconfirmed[n-1].Run != 9+2*MaxUnconfirmed {
		t.Errorf("%d unconfirmed crashes are kept, the last is %+v", n, e.Unconfirmed[n-1])
	}
}
