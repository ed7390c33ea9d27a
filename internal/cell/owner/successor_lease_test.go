package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// succeed returns the owner that follows r, which has been killed: it knows what is stored,
// and the host list, with the lifetime of the host if its entry has not expired.
func (r *restartTest) succeed(listed ...cell.Host) *restartTest {
	next := newHostTest(r.t)
	next.clock.now = r.clock.now
	next.options.ClaimSent, next.options.ClaimedAt = r.clock.now, r.clock.now
	next.options.Self.Token = registry.NextToken(r.options.Self.Token)
	next.options.HostClient, next.options.MaxLease = r.host, testMaxLease
	next.log = r.log
	r.host.clock, r.host.connectedTo = next.clock, 0
	next.list(r.log.Hosts(), listed...)
	return &restartTest{hostTest: next, host: r.host}
}

// earlyExpiry lets the host, which is cut off, run on until its lease has expired. It returns
// by how much the lease counted as expired before that, zero if it did not.
func (r *restartTest) earlyExpiry() time.Duration {
	// The runs on a closed host are those in its record, so that nothing waits for its report.
	known := r.Reconciled() || r.poller("h").closedByPreviousOwner
	for r.host.holdsLease() {
		r.pollWith(callLost)
		if now := r.clock.now; now > r.runsEndBy(r.poller("h")) || r.Reconciled() && !known {
			return r.host.leaseEnd - r.host.hostClock()
		}
		r.clock.now += 100 * time.Millisecond
		r.withState(r.checkReconciled)
	}
	return 0
}

// checkLease checks that the lease of the host, which is cut off, does not count as expired
// before it is, and no longer than for a time after that.
func (r *restartTest) checkLease(most time.Duration) {
	r.t.Helper()
	if early := r.earlyExpiry(); early > 0 {
		r.t.Fatalf("the lease counts as expired %s before it is", early)
	}
	r.clock.now += most
	if now := r.clock.now; now <= r.runsEndBy(r.poller("h")) {
		r.t.Errorf("the lease counts as valid %s after its end", r.host.hostClock()-r.host.leaseEnd)
	}
}

// listedHost returns the entry of the host in the host list, from its present lifetime.
func (r *restartTest) listedHost() cell.Host {
	spec := testHost("h", "a")
	spec.StartedMs = r.host.lifetime
	return spec
}

// serveInTouch lets the owner and the host be in touch for 20 s, with stored records.
func (r *restartTest) serveInTouch() {
	r.list(nil, r.listedHost())
	for range 20 {
		r.clock.now += time.Second
		r.pollWith(noFault)
		r.storeHosts()
	}
	r.withState(r.checkReconciled)
}

// hearOfHost lets the host report to the owner after a restart, and the list show it.
func (r *restartTest) hearOfHost() {
	for range 3 { // the first poll goes to the former lifetime
		r.pollWith(noFault)
	}
	r.list(nil, r.listedHost())
	r.storeHosts()
}

// Guards against a task that runs twice, since a host that is back under its ID got a start
// order that was meant for its former lifetime, and the owner, or its successor, has not
// heard of the lease that this gave it before the host was cut off.
func TestLeaseOfALifetimeThatWasNotHeardOf(t *testing.T) {
	for name, check := range map[string]func(r *restartTest){
		"the answer to the order is lost": func(r *restartTest) {
			r.startWith(answerLost)
			r.list(nil, r.listedHost())
			r.checkLease(maxOrderDelay + 2*time.Second) // the order may have been carried out late
		},
		"the owner is killed before the host reports": func(r *restartTest) {
			r.startWith(noFault)
			r.succeed(r.listedHost()).checkLease(2 * time.Second)
		},
		"the entry of the host expires while it is cut off": func(r *restartTest) {
			r.startWith(noFault)
			next := r.succeed(r.listedHost())
			next.list(nil)
			next.checkLease(2 * time.Second)
		},
		"the entry has expired before the owner is killed": func(r *restartTest) {
			r.startWith(noFault)
			r.hearOfHost()
			for range 3 {
				r.pollWith(callLost)
			}
			r.list(nil)
			r.storeHosts()
			r.succeed().checkLease(2 * time.Second)
		},
		"the answer is lost, and the entry expires": func(r *restartTest) {
			r.startWith(answerLost)
			r.list(nil, r.listedHost())
			r.list(nil)
			r.checkLease(maxOrderDelay + 2*time.Second)
		},
		"the successor reaches the host before it is cut off": func(r *restartTest) {
			r.startWith(noFault)
			next := r.succeed(r.listedHost())
			next.pollWith(noFault)
			next.withState(next.checkReconciled)
			next.checkLease(2 * time.Second)
		},
		"the owner is killed after the host has reported": func(r *restartTest) {
			r.startWith(noFault)
			r.hearOfHost()
			r.succeed(r.listedHost()).checkLease(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartTest(newHostTest(t))
			r.serveInTouch()
			r.host.restart(true)
			r.clock.now += 100 * time.Millisecond
			check(r)
		})
	}
}

// Guards against work that waits for the longest lease after each takeover.
func TestSuccessorDoesNotWaitForTheLongestLease(t *testing.T) {
	r := newRestartTest(newHostTest(t))
	r.serveInTouch()
	next := r.succeed(r.listedHost())
	if wait := next.runsEndBy(next.poller("h")) - next.clock.now; wait > runsEndWithin(LeaseDuration) {
		t.Errorf("the successor waits %s for a host that has not restarted", wait)
	}
}

// Guards against the same in any order of polls, start orders, restarts and faults before the
// owner is killed and the host is cut off. It leaves out what nobody can know: a restart that
// the host list does not show yet, and an order that is carried out after the takeover.
func TestLeaseDoesNotExpireEarlyForASuccessor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRestartTest(newHostTest(t))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			r.clock.now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				r.host.restart(rapid.Bool().Draw(rt, "silent"))
			case 1:
				r.startWith(callFault(rapid.IntRange(0, 3).Draw(rt, "fault")))
			case 2:
				r.host.carryOutLateOrders()
			case 3:
				r.list(nil, r.listedHost())
				r.storeHosts()
			default:
				r.pollWith(callFault(rapid.IntRange(0, 2).Draw(rt, "fault")))
			}
		}
		if len(r.log.Hosts()) == 0 {
			return // nothing has been started there
		}
		next := r.succeed(r.listedHost())
		for range rapid.IntRange(0, 3).Draw(rt, "polls of the successor") {
			next.clock.now += time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond
			next.pollWith(callFault(rapid.IntRange(0, 2).Draw(rt, "fault")))
		}
		next.withState(next.checkReconciled)
		if early := next.earlyExpiry(); early > 0 {
			rt.Fatalf("the lease of lifetime %d counts as expired %s before it is; stored %+v", r.host.lifetime, early, r.log.Hosts())
		}
	})
}
