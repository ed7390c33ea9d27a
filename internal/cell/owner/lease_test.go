package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an owner that takes a lease for over while a host, whose clock
// runs up to 2 % slower, still runs tasks.
func TestLeaseIsNeverOverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := lease{length: Lease}
		speed := rapid.Int64Range(980, 1010).Draw(t, "host clock per mille")
		now := time.Duration(0)
		hostClock := func(at time.Duration) int64 { return 5000 + int64(at/time.Millisecond)*speed/1000 }
		var end int64 // of the lease on the host's clock
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			sent := now
			if until := l.grant(sent); rapid.Bool().Draw(t, "arrives") {
				end = max(end, until)
			}
			now += time.Duration(rapid.Int64Range(0, 800).Draw(t, "way there")) * time.Millisecond
			clock := hostClock(now)
			now += time.Duration(rapid.Int64Range(0, 800).Draw(t, "way back")) * time.Millisecond
			if rapid.Bool().Draw(t, "answered") {
				l.observe(clock, now)
			}
			now += time.Duration(rapid.Int64Range(0, 6000).Draw(t, "pause")) * time.Millisecond
			if over, ok := l.over(); ok && over < now && hostClock(now) < end {
				t.Fatalf("lease taken for over at %s, but at %s the host's clock shows %d of %d", over, now, hostClock(now), end)
			}
		}
	})
}

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// Guards against a process that goes on as owner after it was suspended.
func TestAuthorityEndsDuringASuspension(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	a := authority{clock: clock}
	a.confirm(clock.now)
	clock.now += AuthorityFor - time.Millisecond
	if !a.holds() {
		t.Error("authority ends too early")
	}
	clock.now += time.Second
	if a.holds() {
		t.Error("authority goes on after its end")
	}
	a.confirm(clock.now - 2*AuthorityFor)
	if a.holds() {
		t.Error("an append that was sent long ago gives authority")
	}
}
