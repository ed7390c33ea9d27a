package peers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against endpoints that stay idle for short calls which are not made, and against short
// calls of a burst that find no endpoint.
func TestShortReserveFollowsTheShortCalls(t *testing.T) {
	const up = 36
	var r shortReserve
	now := time.Hour
	if got := r.endpoints(up, 0, now); got != 4 {
		t.Errorf("without short calls %d endpoints are reserved, want 4", got)
	}
	if got := r.endpoints(up, 3, now); got != 6 {
		t.Errorf("with 3 waiting short calls %d endpoints are reserved, want 6", got)
	}
	r.add(20, now)
	if got := r.endpoints(up, 0, now); got != 12 {
		t.Errorf("with 20 short calls in flight %d endpoints are reserved, want 12", got)
	}
	r.add(-20, now+10*reserveTimeConstant)
	if got := r.endpoints(up, 0, now+10*reserveTimeConstant); got != 12 {
		t.Errorf("right after a burst %d endpoints are reserved, want 12", got)
	}
	if got := r.endpoints(up, 0, now+20*reserveTimeConstant); got != 4 {
		t.Errorf("long after a burst %d endpoints are reserved, want 4", got)
	}
}

// Guards against a reserve that is gone right after a short burst, so that the next one finds no
// endpoint.
func TestShortReserveOutlastsAShortBurst(t *testing.T) {
	const up = 36
	var r shortReserve
	now := time.Hour
	r.add(20, now)
	now += 100 * time.Millisecond
	r.add(-20, now)
	if got := r.endpoints(up, 0, now+5*time.Second); got != 12 {
		t.Errorf("5 s after a burst of 20 short calls %d endpoints are reserved, want 12", got)
	}
	if got := r.endpoints(up, 0, now+time.Minute); got != 4 {
		t.Errorf("a minute after it %d endpoints are reserved, want 4", got)
	}
}

// Guards against a reserve that takes all endpoints, or none.
func TestShortReserveIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r shortReserve
		now := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "changes") {
			now += time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "milliseconds")) * time.Millisecond
			r.add(max(rapid.IntRange(-5, 5).Draw(t, "calls"), -r.inFlight), now)
		}
		up := rapid.IntRange(0, 100).Draw(t, "up")
		got := r.endpoints(up, rapid.IntRange(0, 50).Draw(t, "waiting"), now)
		if got < max(up/leastReserveDivisor, 1) || got > max(up/mostReserveDivisor, 1) {
			t.Errorf("%d of %d endpoints are reserved", got, up)
		}
	})
}
