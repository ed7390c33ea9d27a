package service

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// TestScore guards against replicas that are not spread over regions first, then
// zones, then racks.
func TestScore(t *testing.T) {
	p := &plan.DomainCounts{}
	p.Add(&plan.Host{Rack: 1, Zone: 10, Region: 100}, 1)
	r := &plan.Request{Placed: p}
	hosts := []plan.Host{
		{Rack: 1, Zone: 10, Region: 100}, {Rack: 2, Zone: 10, Region: 100},
		{Rack: 3, Zone: 11, Region: 100}, {Rack: 4, Zone: 12, Region: 101},
	}
	for i := range hosts[1:] {
		if a, b := (Policy{}).Score(r, &hosts[i]), (Policy{}).Score(r, &hosts[i+1]); a >= b {
			t.Errorf("host %d with %d is not below host %d with %d", i, a, i+1, b)
		}
	}
}

// TestDisruptable guards against planned moves of too many replicas at once.
func TestDisruptable(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 19: 1, 20: 2, 100: 10} {
		if got := MaxDisrupted(n); got != want {
			t.Errorf("%d replicas: got %d, want %d", n, got, want)
		}
	}
}
