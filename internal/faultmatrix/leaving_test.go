package faultmatrix

import "testing"

// Guards against entry nodes that learn that a runner leaves only from the
// answer to a request of their own, so that each sends it one more (I8).
func TestFaultMatrixLeavingByOwnAnswer(t *testing.T) {
	w := newWorld(t, firstSeed)
	w.prepare()
	w.cluster.Runners[0].SetLeaving(true)
	if n := w.lateRequests(); n > 0 {
		t.Errorf("I8: a runner that says that it leaves got %d requests after %s", n, leavingWait)
	}
}
