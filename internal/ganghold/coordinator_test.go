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

// newHoldingCoordinator returns a coordinator of a gang with two idle parts, and
// the first hold that it requests.
func newHoldingCoordinator(t *testing.T, idempotent bool) (*ganghold.Coordinator, ganghold.Hold) {
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

// Guards against holds that are not released after the hold of another part was
// refused.
func TestRefusalReleasesAllHolds(t *testing.T) {
	c, first := newHoldingCoordinator(t, true)
	second := c.Handle(0, ganghold.Answered{Call: first.Call, OK: true})[0].(ganghold.Hold)
	got := c.Handle(0, ganghold.Answered{Call: second.Call})
	want := []ganghold.Action{ganghold.Release{Shard: "a", HoldID: first.HoldID}, ganghold.Release{Shard: "b", HoldID: first.HoldID}}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against a hold that is not released after its answer was lost and the
// call timed out.
func TestTimeoutReleasesAllHolds(t *testing.T) {
	c, first := newHoldingCoordinator(t, true)
	got := c.Handle(ganghold.CallTimeout, ganghold.Tick{})
	if d := cmp.Diff([]ganghold.Action{ganghold.Release{Shard: "a", HoldID: first.HoldID}}, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against a confirmation of holds that may have expired by their owners'
// clocks.
func TestNoConfirmForExpiringHolds(t *testing.T) {
	for _, at := range []time.Duration{0, ganghold.HoldValidity - 2*time.Second, ganghold.HoldValidity - time.Second, ganghold.HoldValidity} {
		c, hold := newHoldingCoordinator(t, true)
		// Answers arrive just before the timeout of each call.
		hold = c.Handle(0, ganghold.Answered{Call: hold.Call, OK: true})[0].(ganghold.Hold)
		confirms := 0
		for _, a := range c.Handle(at, ganghold.Answered{Call: hold.Call, OK: true}) {
			if _, ok := a.(ganghold.Confirm); ok {
				confirms++
			}
		}
		if stillValid := at+ganghold.CallTimeout < ganghold.HoldValidity-600*time.Millisecond; stillValid != (confirms == 2) || (!stillValid && confirms > 0) {
			t.Errorf("%d confirms at %s", confirms, at)
		}
	}
}

// Guards against idempotent parts that continue to run while another part does
// not run, and against a stop of non-idempotent parts.
func TestPartsAreStoppedIfOneDoesNotRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := ganghold.New(ganghold.Config{Shards: []string{"a", "b"}, Idempotent: idempotent})
		states := map[string]ganghold.State{"a": ganghold.Running, "b": ganghold.Idle}
		answerAll(c, 0, c.Handle(0, ganghold.Tick{}), states)
		for _, a := range c.Handle(ganghold.WatchInterval, ganghold.Tick{}) {
			w, ok := a.(ganghold.Watch)
			if want := map[bool]ganghold.Mode{true: ganghold.Stop, false: ganghold.Query}[idempotent]; !ok || w.Mode != want {
				t.Errorf("idempotent %v: %+v, want mode %d", idempotent, a, want)
			}
		}
	}
}

// backoffsAfterRefusals returns the waits between tries that are all refused.
func backoffsAfterRefusals(seed uint64) (waits []time.Duration) {
	c := ganghold.New(ganghold.Config{Shards: []string{"a", "b"}, Seed: seed})
	last := time.Duration(0)
	for now := time.Duration(0); len(waits) < 8; now += 10 * time.Millisecond {
		idle := map[string]ganghold.State{"a": ganghold.Idle, "b": ganghold.Idle}
		for _, a := range answerAll(c, now, c.Handle(now, ganghold.Tick{}), idle) {
			if hold, ok := a.(ganghold.Hold); ok {
				c.Handle(now, ganghold.Answered{Call: hold.Call})
				waits, last = append(waits, now-last), now
			}
		}
	}
	return waits[1:]
}

// Guards against competing gangs that retry in lockstep, and against a backoff
// that grows without bound.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	one, two := backoffsAfterRefusals(1), backoffsAfterRefusals(2)
	if cmp.Equal(one, two) {
		t.Errorf("two gangs both wait %v", one)
	}
	for _, wait := range append(one, two...) {
		if wait > 5*time.Second+10*time.Millisecond || wait < 100*time.Millisecond {
			t.Errorf("wait of %s, want 100 ms to 5 s", wait)
		}
	}
}
