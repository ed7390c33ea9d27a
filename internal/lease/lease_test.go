package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an owner that considers a lease expired while the worker,
// whose clock may run up to 1 % slower, still runs the task. Messages may be
// reordered, delayed and lost.
func TestOverIsNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		var (
			owner    Tracker
			now      time.Duration
			leaseEnd time.Duration // on the worker's clock
			inFlight []time.Duration
		)
		drift := rapid.Int64Range(990, 1010).Draw(t, "worker clock per mille")
		offset := rapid.Int64Range(0, 1000).Draw(t, "worker clock offset")
		workerClock := func() time.Duration {
			return time.Duration(offset)*time.Second + now/1000*time.Duration(drift)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "step ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				owner.RecordResponse(now, 1, workerClock())
			case 1:
				if _, stamp := owner.Echo(); owner.Incarnation() != 0 {
					inFlight = append(inFlight, stamp)
				}
			case 2:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "delivered")
					leaseEnd = max(leaseEnd, inFlight[i]+length)
				}
			}
			expiresAt := owner.ExpiresBy(length)
			if leaseEnd > workerClock() && expiresAt != 0 && expiresAt < now {
				t.Fatalf("owner considers the lease expired at %s, now %s, worker has %s left", expiresAt, now, leaseEnd-workerClock())
			}
			if leaseEnd > workerClock() && expiresAt == 0 {
				t.Fatalf("the worker has a lease that the owner does not know of")
			}
		}
	})
}
