package requests

import (
	"testing"
	"time"
)

// Guards against nodes that learn that a runner is leaving only from their own
// requests, and against a runner that stays unused after it stopped leaving.
func TestAllNodesLearnThatARunnerLeaves(t *testing.T) {
	o, ro := testOptions()
	f := newTestCluster(t, 3, 1, o, ro)
	for _, leaving := range []bool{true, false} {
		f.runners[0].SetLeaving(leaving)
		f.await("what the runner says, at all nodes", func() bool {
			f.clock.offset.Add(int64(20 * time.Millisecond))
			for _, n := range f.nodes {
				if r := n.server.Dump().Upstreams[0].Runners[0]; r.Leaving != leaving || (!leaving && r.Held == 0) {
					return false
				}
			}
			return true
		})
	}
	if total, _, _ := f.runners[0].Totals(); total != 0 {
		t.Fatalf("the runner got %d requests, want none", total)
	}
}
