package verdict

import (
	"testing"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"
)

// Guards against a merged verdict that claims more than the two attempts prove,
// and against one that depends on their order.
func TestMergeNeverUpgrades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []Verdict{MayHaveRun, DidNotRun, DidRun}
		v := rapid.SampledFrom(all).Draw(t, "v")
		w := rapid.SampledFrom(all).Draw(t, "w")
		got := v.Merge(w)
		if got == DidNotRun && (v != DidNotRun || w != DidNotRun) {
			t.Fatalf("%s merged with %s gives %s", v, w, got)
		}
		if got == DidRun && v != DidRun && w != DidRun {
			t.Fatalf("%s merged with %s gives %s", v, w, got)
		}
		if got != w.Merge(v) {
			t.Fatalf("merge of %s and %s depends on the order", v, w)
		}
	})
}

// Guards against an error without a verdict that is reported as "did not run",
// and against a verdict that is lost when its error is wrapped.
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	if got := Of(eris.New("plain")); got != MayHaveRun {
		t.Fatalf("got %s", got)
	}
	if got := Of(eris.Wrap(New(DidNotRun, "x", "y"), "outer")); got != DidNotRun {
		t.Fatalf("got %s", got)
	}
}
