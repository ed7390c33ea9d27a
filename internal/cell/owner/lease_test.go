package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an owner that considers a lease expired while the host, whose
// clock runs up to 2 % slower, still runs tasks.
func TestLeaseNeverExpiresEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := lease{duration: LeaseDuration}
		l.observe(5000, 0, 0)
		speed := rapid.Int64Range(980, 1010).Draw(t, "host clock per mille")
		now := time.Duration(0)
		hostClock := func(at time.Duration) int64 { return 5000 + int64(at/time.Millisecond)*speed/1000 }
		var end int64 // of the lease, on the host's clock
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			sent := now
			if until := l.grant(sent).Milliseconds(); rapid.Bool().Draw(t, "request arrives") {
				end = max(end, until)
			}
			now += time.Duration(rapid.Int64Range(0, 800).Draw(t, "request delay")) * time.Millisecond
			clock := hostClock(now)
			now += time.Duration(rapid.Int64Range(0, 800).Draw(t, "answer delay")) * time.Millisecond
			if rapid.Bool().Draw(t, "answer arrives") {
				l.observe(clock, sent, now)
			}
			now += time.Duration(rapid.Int64Range(0, 6000).Draw(t, "pause")) * time.Millisecond
			if expiry := l.expiry(); expiry < now && hostClock(now) < end {
				t.Fatalf("lease considered expired at %s, but at %s the host's clock shows %d of %d ms", expiry, now, hostClock(now), end)
			}
		}
	})
}

type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// Guards against a process that continues to act as owner after it was suspended
// for longer than its authority lasts.
func TestAuthorityExpiresDuringSuspension(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	a := authority{clock: clock}
	a.extend(clock.now)
	clock.now += AuthorityDuration - time.Millisecond
	if !a.valid() {
		t.Error("authority expires too early")
	}
	clock.now += time.Second
	if a.valid() {
		t.Error("authority is valid after its expiry")
	}
	a.extend(clock.now - 2*AuthorityDuration)
	if a.valid() {
		t.Error("an append that was sent long ago extends the authority")
	}
}
