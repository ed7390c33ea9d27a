package peers

import (
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
)

// fullPool returns a pool without capacity for which n requests wait.
func fullPool(n int) *Pool {
	p := NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", nil)
	for range 9 {
		p.endpoints = append(p.endpoints, &endpoint{})
	}
	for _, e := range p.endpoints {
		e.shortInFlight = maxShortInFlight
	}
	for range n {
		p.waiters = append(p.waiters, &waiter{granted: make(chan *endpoint, 1)})
	}
	return p
}

// timeOfGrants returns the shortest time of some series of grants.
func timeOfGrants(p *Pool) time.Duration {
	best := time.Hour
	for range 20 {
		start := time.Now()
		for range 20 {
			p.grant()
		}
		best = min(best, time.Since(start))
	}
	return best
}

// Guards against a backlog of requests that slows the answers to them down without end:
// each waiter was looked at with each request, each answer and once a second by each of
// the others.
func TestGrantTakesAsLongWithABacklog(t *testing.T) {
	few, many := timeOfGrants(fullPool(100)), timeOfGrants(fullPool(10000))
	if many > 10*few {
		t.Errorf("with 10,000 waiters, it takes %.0f times as long as with 100, want 10 times at most", float64(many)/float64(few))
	}
}
