package front

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a memory of unknown outcomes that grows without bound, that forgets one without
// a sign, or that never ends.
func TestUnknownOutcomesAreBounded(t *testing.T) {
	var a attempts
	start := time.Unix(1000, 0)
	unknown := func(id string, now time.Time) {
		a.begin(id, now)
		a.end(id, true, now)
	}
	for i := range maxUnknownOutcomes {
		unknown(fmt.Sprint(i), start)
	}
	if _, may := a.state("new", start); may {
		t.Error("a new submission counts as stored while there is room")
	}
	unknown("one too many", start)
	for _, id := range []string{"0", "one too many", "new"} {
		if _, may := a.state(id, start.Add(time.Second)); !may {
			t.Errorf("%s may be refused while an outcome is missing", id)
		}
	}
	if len(a.byID) > maxUnknownOutcomes || len(a.unknown) > maxUnknownOutcomes {
		t.Errorf("%d submissions and %d outcomes are remembered", len(a.byID), len(a.unknown))
	}
	later := start.Add(unknownOutcomeAge)
	if _, may := a.begin("0", later); may {
		t.Error("an outcome is remembered after its time")
	}
	a.end("0", false, later)
	if len(a.byID) != 0 || len(a.unknown) != 0 {
		t.Errorf("%d submissions and %d outcomes are remembered after their time", len(a.byID), len(a.unknown))
	}
}

// Guards against one submission that is repeated again and again and fills the memory, and
// against one that is forgotten at the end of its first unknown outcome.
func TestRepeatedUnknownOutcomeIsNotedOnce(t *testing.T) {
	var a attempts
	start := time.Unix(1000, 0)
	unknown := func(id string, now time.Time) {
		a.begin(id, now)
		a.end(id, true, now)
	}
	for range maxUnknownOutcomes + 1 {
		unknown("x", start)
	}
	if _, may := a.state("other", start); may || len(a.unknown) != 1 {
		t.Errorf("%d outcomes are remembered; another submission counts as stored: %t", len(a.unknown), may)
	}
	unknown("x", start.Add(time.Minute))
	first := start.Add(unknownOutcomeAge)
	unknown("other", first)
	if _, may := a.state("x", first); !may || len(a.unknown) != 2 {
		t.Errorf("after the first time %d outcomes are remembered; the submission may be stored: %t", len(a.unknown), may)
	}
	last := first.Add(unknownOutcomeAge)
	a.begin("new", last)
	a.end("new", false, last)
	if len(a.byID) != 0 || len(a.unknown) != 0 {
		t.Errorf("%d submissions and %d outcomes are remembered after their time", len(a.byID), len(a.unknown))
	}
}

// Guards against a call that is taken for the only one of its submission.
func TestSimultaneousAttemptsAreKnown(t *testing.T) {
	var a attempts
	now := time.Unix(1000, 0)
	if _, may := a.begin("x", now); may {
		t.Error("a first call finds another one")
	}
	before, _ := a.state("x", now)
	if _, may := a.begin("x", now); !may {
		t.Error("a second call does not find the first one")
	}
	a.end("x", false, now)
	if after, may := a.state("x", now); after == before || may {
		t.Errorf("after a second call that is over, %d calls had begun before and %d have now; may be stored %t", before, after, may)
	}
	a.end("x", false, now)
	if len(a.byID) != 0 {
		t.Errorf("%d submissions are remembered after their calls", len(a.byID))
	}
}
