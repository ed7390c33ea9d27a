package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against tasks that run twice, since a host that is back under its ID got the
// acknowledgement of its former lifetime and forgot ends that it had not listed.
func TestEndsOfALaterLifetimeAreNotAcknowledged(t *testing.T) {
	for name, restart := range map[string]func(r *restartTest){
		"a poll is lost and the host restarts":         func(r *restartTest) { r.pollWith(callLost); r.host.restart(true) },
		"the host restarts and its channels go silent": func(r *restartTest) { r.host.restart(true); r.pollWith(noFault) },
		"the host restarts between two polls":          func(r *restartTest) { r.host.restart(false) },
		"an answer is lost and the host restarts":      func(r *restartTest) { r.pollWith(answerLost); r.host.restart(false) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartTest(newHostTest(t))
			for range 24 {
				r.host.end()
			}
			r.pollWith(noFault)
			if got := r.poller("h").life.storedResult; got != 24 {
				t.Fatalf("results up to %d are stored, want 24", got)
			}
			restart(r)
			for range 4 {
				r.host.end()
			}
			for range 4 {
				r.pollWith(noFault)
			}
			for _, v := range r.host.violations {
				t.Error(v)
			}
			if len(r.host.ends) > 0 || r.host.listed != 4 {
				t.Errorf("%d ends are not acknowledged in the end, %d were listed, want 0 and 4", len(r.host.ends), r.host.listed)
			}
		})
	}
}

// Guards against the same in any order of ends, restarts and faults of calls.
func TestOnlyListedEndsAreAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRestartTest(newHostTest(t))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				r.host.end()
			case 1:
				r.host.restart(rapid.Bool().Draw(rt, "silent"))
			case 2:
				if r.knowsLifetime() && r.poller("h").life.firstToken < r.host.fence {
					r.host.carryOutLateOrders()
				}
			default:
				r.pollWith(callFault(rapid.IntRange(0, 3).Draw(rt, "fault")))
			}
		}
		for range 4 {
			r.pollWith(noFault)
		}
		if len(r.host.violations) > 0 {
			rt.Fatal(r.host.violations[0])
		}
		if len(r.host.ends) > 0 {
			rt.Fatalf("%d ends are not acknowledged although the host answers", len(r.host.ends))
		}
	})
}

// Guards against a task that runs twice, since a host that is back under its ID got a start
// order before its first report: that order gave it a longer lease than the owner knew.
func TestOrderToALaterLifetimeExtendsItsLease(t *testing.T) {
	for name, first := range map[string]func(r *restartTest){
		"it reports, and is cut off": func(r *restartTest) {
			for range 3 { // the first poll goes to the former lifetime
				r.pollWith(noFault)
			}
		},
		"it is cut off before its first report": func(*restartTest) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartTest(newHostTest(t))
			for range 20 {
				r.clock.now += time.Second
				r.pollWith(noFault)
			}
			r.host.restart(true)
			r.clock.now += 100 * time.Millisecond
			r.startWith(noFault)
			first(r)
			for r.host.holdsLease() {
				if r.clock.now > r.runsEndBy(r.poller("h")) {
					t.Fatalf("the lease counts as expired %s before it is", r.host.leaseEnd-r.host.hostClock())
				}
				r.clock.now += 100 * time.Millisecond
			}
			if r.clock.now += 2 * time.Second; r.clock.now <= r.runsEndBy(r.poller("h")) {
				t.Errorf("the lease counts as valid %s after its end", r.host.hostClock()-r.host.leaseEnd)
			}
		})
	}
}

// Guards against the same in any order of polls, start orders, restarts and faults. It leaves
// out what no caller can know: an order without an answer that is carried out by a lifetime
// which has not been heard of.
func TestLeaseOfNoLifetimeExpiresEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRestartTest(newHostTest(t))
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			r.clock.now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				r.host.restart(rapid.Bool().Draw(rt, "silent"))
			case 1:
				f := callFault(rapid.IntRange(0, 3).Draw(rt, "fault"))
				if f != noFault && !r.knowsLifetime() {
					f = callLost
				}
				r.startWith(f)
			case 2:
				if r.knowsLifetime() {
					r.host.carryOutLateOrders()
				}
			default:
				r.pollWith(callFault(rapid.IntRange(0, 2).Draw(rt, "fault")))
			}
			if h := r.poller("h"); h.life != nil && r.host.holdsLease() && r.clock.now > r.runsEndBy(h) {
				rt.Fatalf("the lease of lifetime %d counts as expired %s before it is", r.host.lifetime, r.host.leaseEnd-r.host.hostClock())
			}
		}
	})
}
