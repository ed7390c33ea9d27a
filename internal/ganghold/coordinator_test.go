package ganghold_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarpulley/medlarpulley/internal/ganghold"
)

// answerAll answers each Watch of the actions with the state of its shard.
func answerAll(c *ganghold.Coordinator, now time.Duration, actions []ganghold.Action, states map[string]ganghold.State) (out []ganghold.Action) {
	for _, a := range actions {
		if w, ok := a.(ganghold.Watch); ok {
			out = append(out, c.Handle(now, ganghold.Watched{Call: w.Call, State: states[w.Shard]})...)
		}
	}
	return out
}

// begin returns a coordinator of two idle parts and its first hold.
func begin(t *testing.T, idempotent bool) (*ganghold.Coordinator, ganghold.Hold) {
	t.Helper()
	c := ganghold.New(ganghold.Config{Shards: []string{"b", "a"}, Token: 1, Idempotent: idempotent})
	actions := answerAll(c, 0, c.Handle(0, ganghold.Tick{}), map[string]ganghold.State{"a": ganghold.Idle, "b": ganghold.Idle})
	if len(actions) != 1 {
		t.Fatalf("actions %+v, want one hold", actions)
	}
	hold, ok := actions[0].(ganghold.Hold)
	if !ok || hold.Shard != "a" {
		t.Fatalf("action %+v, want a hold of a", actions[0])
	}
	return c, hold
}

// Guards against holds that are kept after another part was refused.
func TestRefusalReleasesAll(t *testing.T) {
	c, first := begin(t, true)
	second := c.Handle(0, ganghold.Answered{Call: first.Call, OK: true})[0].(ganghold.Hold)
	got := c.Handle(0, ganghold.Answered{Call: second.Call})
	want := []ganghold.Action{ganghold.Release{Shard: "a", Hold: first.Hold}, ganghold.Release{Shard: "b", Hold: first.Hold}}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against a hold whose answer was lost and that is not released.
func TestSilenceReleasesAll(t *testing.T) {
	c, first := begin(t, true)
	got := c.Handle(ganghold.CallTimeout, ganghold.Tick{})
	if d := cmp.Diff([]ganghold.Action{ganghold.Release{Shard: "a", Hold: first.Hold}}, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against a go for holds that may be over by their owners' clocks.
func TestNoGoForOldHolds(t *testing.T) {
	for _, at := range []time.Duration{0, ganghold.HoldFor - 2*time.Second, ganghold.HoldFor - time.Second, ganghold.HoldFor} {
		c, hold := begin(t, true)
		// Answers arrive just before the timeout of each call.
		hold = c.Handle(0, ganghold.Answered{Call: hold.Call, OK: true})[0].(ganghold.Hold)
		confirms := 0
		for _, a := range c.Handle(at, ganghold.Answered{Call: hold.Call, OK: true}) {
			if _, ok := a.(ganghold.Confirm); ok {
				confirms++
			}
		}
		if young := at+ganghold.CallTimeout < ganghold.HoldFor-600*time.Millisecond; young != (confirms == 2) || (!young && confirms > 0) {
			t.Errorf("%d confirms at %s", confirms, at)
		}
	}
}

// Guards against parts that go on running beside one that does not, and against
// a stop of non-idempotent parts.
func TestPartsAreStoppedIfOneDoesNotRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := ganghold.New(ganghold.Config{Shards: []string{"a", "b"}, Idempotent: idempotent})
		states := map[string]ganghold.State{"a": ganghold.Running, "b": ganghold.Idle}
		answerAll(c, 0, c.Handle(0, ganghold.Tick{}), states)
		for _, a := range c.Handle(ganghold.KeepEvery, ganghold.Tick{}) {
			w, ok := a.(ganghold.Watch)
			if want := map[bool]ganghold.Mode{true: ganghold.Stop, false: ganghold.Ask}[idempotent]; !ok || w.Mode != want {
				t.Errorf("idempotent %v: %+v, want mode %d", idempotent, a, want)
			}
		}
	}
}
