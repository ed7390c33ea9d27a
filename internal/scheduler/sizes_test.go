package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestManySizes guards the properties of TestRandomFleets with a size of its
// own for each job, where the searches by size decide what is looked at. Ahead
// of each Decide it guards the choice of the next lane and the running totals
// against a look at everything.
func TestManySizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		// A host holds one or two tasks; with ten jobs for each host all of them
		// end within the time of runFleet.
		sc.wide, sc.jobs = true, rapid.IntRange(10, 10*sc.hosts).Draw(t, "wideJobs")
		m := sc.build()
		m.check = func() { m.checkLane(); m.checkSummary() }
		runFleet(t, m)
	})
}

// checkLane compares each way to find the next lane with a look at all lanes.
func (m *model) checkLane() {
	s := m.s
	if s.paused.All {
		return
	}
	s.examined = 0
	for _, t := range s.teamList {
		for c := range t.queues {
			for _, l := range t.queues[c].lanes {
				s.relist(l)
			}
		}
	}
	s.pruneOpen()
	want := s.firstOf(s.allLanes())
	if few, ok := s.fitting(); ok {
		if got := s.firstOf(few); got != want {
			m.fault("few lanes: got %+v, want %+v", got, want)
		}
	}
	var got *lane
	for _, c := range classOrder {
		if got = s.nextOf(c); got != nil {
			break
		}
	}
	if got != want {
		m.fault("queues: got %+v, want %+v", got, want)
	}
	if got := s.nextLane(); got != want {
		m.fault("next lane: got %+v, want %+v", got, want)
	}
}

// allLanes returns the lanes that any host has room for.
func (s *Scheduler) allLanes() (list []*lane) {
	for _, t := range s.teamList {
		for c := range t.queues {
			for _, l := range t.queues[c].lanes {
				if l.top() == nil || l.overLimit || t.limit == nil || (s.paused.NonIdempotent && !l.key.idempotent) {
					continue
				}
				room := !l.shape.blocked
				for _, h := range s.hostList {
					room = room || (h != nil && !l.shape.gang() && l.shape.key.size.Fits(h.view.Free))
				}
				if room {
					list = append(list, l)
				}
			}
		}
	}
	return list
}

// checkSummary compares the running totals with sums over jobs and hosts.
func (m *model) checkSummary() {
	s := m.s
	got := s.Summary()
	want := got
	want.Waiting, want.ReadyHosts, want.Limits = 0, 0, map[string]LimitUse{}
	for name, l := range s.limits {
		want.Limits[name] = LimitUse{Allotted: l.allotted, Used: l.used + l.held}
	}
	first := s.firstWaiting()
	for _, j := range s.jobList {
		if j.closed {
			continue
		}
		want.Waiting += int(j.waiting)
		if l := j.team.limit; l != nil && j.cost < uncoverable && j.hold == nil && (!j.spanning || first[l] == j) {
			use := want.Limits[l.spec.Name]
			use.Waiting += j.cost * int64(j.waiting)
			want.Limits[l.spec.Name] = use
		}
	}
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		// The end of a quarantine counts from the Decide that follows it.
		if _, out := s.health.Quarantined(h.view.ID); (out && h.ready) || (!out && s.takes(h, s.now)) {
			if !h.free().IsNegative() {
				want.ReadyHosts++
			}
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		m.fault("summary: %s", d)
	}
}

// TestManySizesDeterminism guards against results that depend on the order of
// a map, with a size of its own for each job.
func TestManySizesDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		sc.wide = true
		a, b := sc.build(), sc.build()
		a.run(20e9, 50e6)
		b.run(20e9, 50e6)
		if d := cmp.Diff(a.actions, b.actions); d != "" {
			t.Fatalf("same events, different actions: %s", d)
		}
	})
}
