package scheduler

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Guards against a shard that keeps units of a limit for waiting tasks that its
// hosts cannot run: a shard without usable hosts kept all units, and no task
// started in any shard.
func TestWaitingUnitsAreBoundedByReadyHosts(t *testing.T) {
	s := newShard(2, Options{})
	s.job("wide", "a", work.Batch, work.Normal, 50, 8, true)
	s.job("large", "a", work.Batch, work.Normal, 5, 17, true)
	s.job("few", "b", work.Batch, work.Normal, 3, 1, true)
	check := func(when string, a, b int64) {
		t.Helper()
		got := s.Summary()
		if got.Limits["a"].Waiting != a || got.Limits["b"].Waiting != b || got.Waiting != 58 {
			t.Errorf("%s: limits %+v, %d tasks wait", when, got.Limits, got.Waiting)
		}
	}
	check("two hosts", 4*8, 3)
	s.host(1, HostUnreachable)
	check("one host", 2*8, 3)
	s.host(0, HostLeaving)
	check("no host accepts tasks", 0, 0)
	s.host(0, HostReady)
	s.host(1, HostReady)
	check("both hosts are back", 4*8, 3)
	s.apply(JobCancelled{Job: "wide"})
	s.step(time.Millisecond)
	if got := s.Summary().Limits["a"].Waiting; got != 0 {
		t.Errorf("%d units for tasks that fit no host", got)
	}
}
