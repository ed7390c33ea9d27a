package owner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against ends that a host has forgotten unlisted and nobody notices, and against a warning
// for ends that were listed.
func TestForgottenEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		seen    int64
		numbers []int64
		want    int64
	}{
		{"none listed", 7, nil, 0},
		{"only ends that were listed before", 7, []int64{6, 7}, 0},
		{"the next ones", 7, []int64{9, 8}, 0},
		{"the first ones of a lifetime", 0, []int64{1, 2}, 0},
		{"a gap", 7, []int64{7, 11, 12}, 3},
		{"a gap at the beginning of a lifetime", 0, []int64{25}, 24},
	} {
		var listed []cell.Ended
		for _, n := range c.numbers {
			listed = append(listed, cell.Ended{Number: n})
		}
		if got := forgottenEnds(c.seen, listed); got != c.want {
			t.Errorf("%s: %d ends count as forgotten, want %d", c.name, got, c.want)
		}
	}
}

// forgottenEndsTest is an owner of a restartingHost that counts and logs.
type forgottenEndsTest struct {
	*restartTest
	scope  tally.TestScope
	logged bytes.Buffer
}

func newForgottenEndsTest(r *restartTest) *forgottenEndsTest {
	f := &forgottenEndsTest{restartTest: r, scope: tally.NewTestScope("", nil)}
	f.metrics = newMetrics(f.scope)
	f.options.Log = slog.New(slog.NewTextHandler(&f.logged, nil))
	return f
}

// end ends runs on the host.
func (f *forgottenEndsTest) end(runs int) {
	for range runs {
		f.host.end()
	}
}

// check checks how many ends count as forgotten, and that there is a line if any do.
func (f *forgottenEndsTest) check(want int64) {
	f.t.Helper()
	if got := f.scope.Snapshot().Counters()["ends_forgotten+"].Value(); got != want {
		f.t.Errorf("%d ends are counted as forgotten, want %d", got, want)
	}
	if logged := strings.Contains(f.logged.String(), "forgotten ends"); logged != (want > 0) {
		f.t.Errorf("logged: %t, in %q", logged, f.logged.String())
	}
}

// Guards against a warning after each takeover for the ends that the former owner had
// acknowledged: the first report to a successor often lists no end, and the second one does.
func TestAcknowledgementsOfAFormerOwnerAreNoForgottenEnds(t *testing.T) {
	former := newForgottenEndsTest(newRestartTest(newHostTest(t)))
	former.end(4)
	for range 3 {
		former.pollWith(noFault)
	}
	if len(former.host.ends) > 0 {
		t.Fatal("the former owner has not acknowledged the ends")
	}
	f := newForgottenEndsTest(former.succeed(testHost("h", "a")))
	f.pollWith(noFault) // lists no end
	f.end(4)
	f.pollWith(noFault) // lists ends 5 to 8
	f.end(2)
	f.pollWith(noFault)
	f.check(0)
}

// Guards against ends that a host has forgotten unlisted and nobody notices, in a lifetime of
// which the owner has seen an end, and in one that it has known from its start.
func TestForgottenEndsAreReported(t *testing.T) {
	for name, prepare := range map[string]func(f *forgottenEndsTest){
		"after an end that was listed": func(f *forgottenEndsTest) {
			f.end(1)
			f.pollWith(noFault)
		},
		"after a restart": func(f *forgottenEndsTest) {
			f.pollWith(noFault)
			f.host.restart(false)
			f.pollWith(noFault)
			f.pollWith(noFault)
		},
		"in the first report after a restart": func(f *forgottenEndsTest) {
			f.pollWith(noFault)
			f.host.restart(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForgottenEndsTest(newRestartTest(newHostTest(t)))
			prepare(f)
			f.end(4)
			f.host.ends = f.host.ends[len(f.host.ends)-1:] // the first three are forgotten
			f.pollWith(noFault)
			f.pollWith(noFault)
			f.check(3)
		})
	}
}
