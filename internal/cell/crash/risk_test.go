package crash

import (
	"testing"
	"time"
)

// Guards against queues that are started with care after one crash or long after the last one,
// and against queues that are not while many starts crash hosts.
func TestRiskFollowsRecentCrashes(t *testing.T) {
	var r Risk
	r.Add(10, 1, 0)
	if r.Exceeds(RiskyShare, 0) {
		t.Error("a queue is risky after one crash")
	}
	r.Add(0, 2, 0)
	if !r.Exceeds(ConfinedShare, 0) || r.Share() != 0.3 {
		t.Errorf("a queue is not confined though %.2f of its starts crashed hosts", r.Share())
	}
	if r.Exceeds(RiskyShare, 10*time.Second) {
		t.Error("a queue is risky long after its crashes")
	}
	r.Add(0, -9, 10*time.Second)
	if r.Crashes != 0 {
		t.Errorf("%g crashes are left after more were taken back", r.Crashes)
	}
	r.AddTrial(1, 10*time.Second)
	if !r.TrialsCrash(10*time.Second) || r.TrialsCrash(14*time.Second) {
		t.Error("crashes of trials count for too short or too long")
	}
}

// Guards against many first tasks of a deadly queue at one time, and against a queue that starts
// none at all.
func TestFirstTasksOfARiskyQueueAreBounded(t *testing.T) {
	r := Risk{Starts: 100, Crashes: 50, Down: 1}
	for r.MayStartFirst(4) {
		r.Unproven++
	}
	if r.Unproven != 6 {
		t.Errorf("%d first tasks are present, of which half crash their hosts, beside one host that is down, with 4 at most", r.Unproven)
	}
	r = Risk{Starts: 1, Crashes: 9, Down: 9}
	if !r.MayStartFirst(1) {
		t.Error("no task of the queue is ever started again")
	}
}

// Guards against queues that take memory for good, and against counts of the decision before.
func TestOldRisksAreForgotten(t *testing.T) {
	r := Risks{}
	r.Of("old", 0).Add(1, 0, 0)
	r.Of("new", 0).Add(100, 50, time.Second)
	r["new"].Down = 3
	if !r.BeginCount(time.Second) || r["new"].Down != 0 {
		t.Error("a risky queue is not counted anew")
	}
	r["old"].At = 0
	r.ForgetOld(ForgetRiskAfter + time.Second)
	if len(r) != 1 || r["new"] == nil {
		t.Errorf("%d queues are left", len(r))
	}
}
