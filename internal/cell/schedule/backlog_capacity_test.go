package schedule

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a wait that is multiplied since hosts do not answer for a moment, and against
// one that counts the room of hosts which take no new work.
func TestCapacityCountsHostsOutOfReach(t *testing.T) {
	capacity := func(change func(c *cluster)) float64 {
		c := newCluster(4, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
		c.advance(0)
		change(c)
		return c.s.serviceRooms()[c.s.sortedHosts[0].spec.Service].capacity[admission.Cores]
	}
	for name, k := range map[string]struct {
		change func(h *host)
		want   float64
	}{
		"all hosts answer":      {func(*host) {}, 64_000},
		"one is out of reach":   {func(h *host) { h.reachable = false }, 64_000},
		"one is closed":         {func(h *host) { h.closed = true }, 64_000},
		"one is draining":       {func(h *host) { h.spec.Leaving = true }, 48_000},
		"one is evacuated":      {func(h *host) { h.evacuated = true }, 48_000},
		"one is not listed now": {func(h *host) { h.listed = false }, 48_000},
	} {
		if got := capacity(func(c *cluster) { k.change(c.s.sortedHosts[0]) }); got != k.want {
			t.Errorf("%s: the capacity is %v, want %v", name, got, k.want)
		}
	}
}

// Guards against waits that a new owner publishes before it knows what its hosts run.
func TestNoBacklogsBeforeReconciliation(t *testing.T) {
	c := overloadedTeam(11)
	if len(c.s.LoadSummary().Backlogs) == 0 {
		t.Fatal("nothing waits")
	}
	c.s.reconciled = false
	if got := c.s.LoadSummary(); len(got.Backlogs) != 0 {
		t.Errorf("before the hosts are reconciled the backlogs are %+v", got)
	}
}
