package peers

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// newIdlePool returns a pool whose endpoints are used by nobody.
func newIdlePool(clock *manualClock, endpoints int) *Pool {
	idle := newFakePeer()
	pool := NewPool(clock, slog.New(slog.DiscardHandler), "self", idle)
	for len(pool.endpoints) < endpoints {
		pool.endpoints = append(pool.endpoints, &endpoint{local: idle})
	}
	return pool
}

// Guards against a node that is called again and again at the same pace although each
// call fails, and against one that is not used any more after it has answered.
func TestCooldownGrowsWithEachFailure(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	pool := newIdlePool(clock, 2)
	e := pool.endpoints[0]
	fail := eris.New("no answer")
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		e.shortInFlight++
		pool.release(context.Background(), e, false, fail)
		clock.now += want*time.Second - 1
		if !e.isDown(clock.now) {
			t.Errorf("the node is used before %d s have passed", want)
		}
		clock.now++
		if e.isDown(clock.now) {
			t.Errorf("the node is not used after %d s", want)
		}
	}
	e.shortInFlight++
	pool.release(context.Background(), e, false, nil)
	e.shortInFlight++
	pool.release(context.Background(), e, false, fail)
	if clock.now += time.Second; e.isDown(clock.now) {
		t.Error("the node's earlier failures count although it answered")
	}
}

// Guards against a node that counts as failed since the caller left or the service is
// busy, and against a call to it before the service is free.
func TestRefusalIsNoFailure(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	pool := newIdlePool(clock, 2)
	e := pool.endpoints[0]
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	e.shortInFlight++
	if pool.release(gone, e, false, gone.Err()) || e.isDown(clock.now) {
		t.Error("the node is not used after its caller has left")
	}
	e.shortInFlight++
	if !pool.release(context.Background(), e, false, &advice.BusyError{FreeIn: 3 * time.Second}) {
		t.Error("a call that was refused is not tried again")
	}
	if clock.now += 2 * time.Second; !e.isDown(clock.now) {
		t.Error("the node is called while the service is busy")
	}
	if clock.now += time.Second; e.isDown(clock.now) || e.adviceCooldown != 0 {
		t.Error("the node is not used although the service is free")
	}
}

// Guards against a node that is never used again, since an odd answer of it says that the
// service is busy for weeks.
func TestBusyNodeIsUsedAgain(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	pool := newIdlePool(clock, 2)
	e := pool.endpoints[0]
	e.shortInFlight++
	pool.release(context.Background(), e, false, &advice.BusyError{FreeIn: 1000 * time.Hour})
	if clock.now += maxAdviceCooldown; e.isDown(clock.now) {
		t.Errorf("the node is not used after %s", maxAdviceCooldown)
	}
}

// Guards against retries that multiply the load when most calls fail.
func TestRetriesAreBoundedWhenMostCallsFail(t *testing.T) {
	pool := newIdlePool(&manualClock{now: time.Hour}, 50)
	retries := 0
	for _, e := range pool.endpoints {
		e.shortInFlight++
		if pool.release(context.Background(), e, false, eris.New("no answer")) {
			retries++
		}
	}
	if retries == 0 || retries >= maxRetryTokens/2 {
		t.Errorf("%d of %d failed calls were tried again", retries, len(pool.endpoints))
	}
	for range 100 {
		e := pool.endpoints[0]
		e.shortInFlight++
		pool.release(context.Background(), e, false, nil)
	}
	if !pool.retries.allows() {
		t.Error("no call is tried again although all succeed")
	}
}
