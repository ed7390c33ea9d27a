package owner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// Guards against a task that has run twice and of which the log and the metrics of the owner show
// nothing, or not which owners have started it and why the first run was taken as gone.
func TestRepeatedRunIsLoggedAndCounted(t *testing.T) {
	h := newHostTest(t)
	var logged bytes.Buffer
	scope := tally.NewTestScope("", nil)
	h.options.Log, h.metrics = slog.New(slog.NewTextHandler(&logged, nil)), newMetrics(scope)
	h.list(nil, testHost("h1", "a"), testHost("h2", "b"))
	h.pollOnce("h1")
	h.pollOnce("h2")
	h.storeHosts()
	h.submit("x")
	first := h.decideOnce()
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	id := map[string]string{"a": "h1", "b": "h2"}[first[0]]
	h.recordGone(h.poller(id))
	if second := h.decideOnce(); len(second) != 1 || second[0] == first[0] {
		t.Fatalf("the second start is at %v", second)
	}
	h.pollOnce(id)
	h.decideOnce()
	for _, part := range []string{
		`level=WARN msg="Two runs of a task are present." id=x task=x.0.0.0 run=1001 host=` + id + " answers=true state=gone earlier_owner=false token=2 gone=lease_expired gone_for=100ms",
		"other_run=1002 other_host=", "other_answers=true other_state=running other_earlier_owner=false other_token=2 before_claim=false",
	} {
		if !strings.Contains(logged.String(), part) {
			t.Errorf("%q is missing in %q", part, logged.String())
		}
	}
	if got := scope.Snapshot().Counters()["runs_repeated+kind=two_present"].Value(); got != 1 {
		t.Errorf("%d repeated runs are counted, want 1", got)
	}
}

// Guards against a run number that is ascribed to the wrong owner.
func TestTokenOfRun(t *testing.T) {
	for run, want := range map[int64]int64{1: 1, 1000: 1, 1001: 2, 1_023_000: 1023, 1_023_001: 1024} {
		if got := tokenOfRun(run); got != want {
			t.Errorf("run %d is ascribed to token %d, want %d", run, got, want)
		}
	}
}

// Guards against messages that are lost since the owner may not decide any more.
func TestMessagesAreLoggedWhenTheTermEnds(t *testing.T) {
	l := newLoggedTest(t)
	l.list(nil, testHost("h", "a"))
	l.pollOnce("h")
	l.client.answers["a"] = answersAs(20) // it has restarted
	l.pollOnce("h")
	l.clock.now += 2 * AuthorityDuration
	l.decide(t.Context())
	l.logged.Reset()
	l.shutDown(func() {})
	l.expect("The host has restarted; its runs are gone.")
}
