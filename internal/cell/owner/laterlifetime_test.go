package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a task that runs twice, since a poll that was meant for the former lifetime of
// a host has given the present one the longest lease, and the host was cut off then.
func TestPollToALaterLifetimeExtendsItsLease(t *testing.T) {
	for name, restart := range map[string]func(r *restartTest){
		"the connection outlives the process": func(r *restartTest) {
			r.host.relayed = true
			r.host.restart(true)
			r.clock.now += 100 * time.Millisecond
			r.pollWith(noFault)
		},
		"the poll has no answer and is carried out later": func(r *restartTest) {
			r.pollWith(carriedOutLate)
			r.host.restart(true)
			r.clock.now += 100 * time.Millisecond
			r.pollWith(noFault)
			r.host.carryOutLateOrders()
		},
		"the poll is carried out before the host reports": func(r *restartTest) {
			r.pollWith(carriedOutLate)
			r.host.restart(true)
			r.clock.now += 100 * time.Millisecond
			r.host.carryOutLateOrders()
			r.pollWith(noFault)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestartTest(newHostTest(t))
			r.serveInTouch()
			restart(r)
			r.pollWith(noFault)
			r.checkLease(maxOrderDelay + 2*time.Second)
		})
	}
}

// Guards against a task that runs twice, since a poll that was meant for the former lifetime of
// a host is carried out by the present one, which forgets ends that it has not listed.
func TestLatePollAcknowledgesNoEndsOfALaterLifetime(t *testing.T) {
	r := newRestartTest(newHostTest(t))
	for range 24 {
		r.host.end()
	}
	r.pollWith(noFault)
	r.pollWith(carriedOutLate)
	r.host.restart(true)
	r.pollWith(noFault)
	r.pollWith(noFault)
	r.startWith(noFault)
	r.host.end()
	r.host.carryOutLateOrders()
	for range 4 {
		r.pollWith(noFault)
	}
	for _, v := range r.host.violations {
		t.Error(v)
	}
	if len(r.host.ends) > 0 || r.host.listed != 1 {
		t.Errorf("%d ends are not acknowledged in the end, %d were listed, want 0 and 1", len(r.host.ends), r.host.listed)
	}
}

// Guards against an owner that takes the refusal of its own earlier call for that of another
// owner's, and gives up the cell.
func TestOwnCallsAreFencedWithoutLossOfTheOwnership(t *testing.T) {
	r := newRestartTest(newHostTest(t))
	r.serveInTouch()
	h := r.poller("h")
	before, token := r.orderTarget(h)
	r.host.restart(true)
	r.hearOfHost()
	if r.isFenced(h, token) {
		t.Error("a refusal of a call to the former lifetime counts as one for another owner")
	}
	clockMs, refusal, err := r.host.Start(t.Context(), &before, platform.Start{LeaseEndMs: time.Hour.Milliseconds(), Token: token})
	if err != nil || refusal != platform.RefusedFenced {
		t.Errorf("the present lifetime answers %v, %v at %d ms to an order for the former one", refusal, err, clockMs)
	}
	if _, token := r.orderTarget(h); !r.isFenced(h, token) {
		t.Error("a refusal of the present token does not show another owner")
	}
	select {
	case <-r.OwnershipLost():
		t.Error("the ownership is lost")
	default:
	}
}

// Guards against orders with a lower token than a host has seen, after the host was removed, was
// forgotten and is back without a restart.
func TestTokenOfAForgottenHostDoesNotFall(t *testing.T) {
	r := newRestartTest(newHostTest(t))
	r.serveInTouch()
	r.host.restart(true)
	r.hearOfHost()
	_, before := r.orderTarget(r.poller("h"))
	r.list(nil)
	r.recordGone(r.poller("h"))
	if !r.removeIfGone(r.poller("h")) {
		t.Fatal("the host is not removed")
	}
	r.clock.now += 2 * maxOrderDelay
	r.list(nil)
	if len(r.callsToHosts) != 0 {
		t.Fatal("the host is not forgotten")
	}
	r.list(nil, r.listedHost())
	if _, token := r.orderTarget(r.poller("h")); token < before {
		t.Errorf("the token is %d, and was %d", token, before)
	}
}

// Guards against tokens of one owner that reach those of the next.
func TestTokensOfATermAreBounded(t *testing.T) {
	f := newHostFence(registry.TokensPerTerm, 0)
	for lifetime := range int64(2 * registry.TokensPerTerm) {
		f.heardOf(lifetime + 1)
	}
	if f.token != 2*registry.TokensPerTerm-1 || f.token >= registry.NextToken(registry.TokensPerTerm) {
		t.Errorf("the token is %d", f.token)
	}
}
