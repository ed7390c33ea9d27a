package faultmatrix

import "testing"

// Guards against entry nodes that learn that a runner is leaving only from the
// response to one of their own requests, so that each node sends one more
// request to the leaving runner (I8).
func TestFaultMatrixLeavingByOwnAnswer(t *testing.T) {
	tc := newTestCluster(t, firstSeed)
	tc.prepare()
	tc.cluster.Runners[0].SetLeaving(true)
	if n := tc.requestsAfterLeaving(); n > 0 {
		t.Errorf("I8: a runner that reports itself as leaving got %d requests after %s", n, leavingBound)
	}
}
