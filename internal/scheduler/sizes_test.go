package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
)

// TestManySizes guards the properties of TestRandomFleets with a different size
// for each job, where the searches by size decide which job groups are
// examined. Ahead of each Decide it compares the choice of the next group and
// the running totals with a full scan.
func TestManySizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		// A host holds one or two tasks; with up to ten jobs for each host all
		// of them end within the time of runFleet.
		sc.manySizes, sc.jobs = true, rapid.IntRange(10, 10*sc.hosts).Draw(t, "wideJobs")
		m := sc.build()
		m.beforeDecide = func() { m.checkNextGroup(); m.checkSummary() }
		runFleet(t, m)
	})
}

// checkNextGroup compares each way to find the next group with a scan of all
// groups.
func (m *model) checkNextGroup() {
	s := m.s
	if s.paused.All {
		return
	}
	s.examinedGroups = 0
	for _, t := range s.teamList {
		for c := range t.queues {
			for _, g := range t.queues[c].groups {
				s.relistGroup(g)
			}
		}
	}
	s.pruneFreedHosts()
	want := s.firstGroup(s.placeableGroups())
	if matching, ok := s.matchingGroups(); ok {
		if got := s.firstGroup(matching); got != want {
			m.violation("matching groups: got %+v, want %+v", got, want)
		}
	}
	var got *jobGroup
	for _, c := range classOrder {
		if got = s.nextGroupOfClass(c); got != nil {
			break
		}
	}
	if got != want {
		m.violation("queues: got %+v, want %+v", got, want)
	}
	if got := s.nextGroup(); got != want {
		m.violation("next group: got %+v, want %+v", got, want)
	}
}

// placeableGroups returns the groups for which a host may have free capacity.
func (s *Scheduler) placeableGroups() (groups []*jobGroup) {
	for _, t := range s.teamList {
		for c := range t.queues {
			for _, g := range t.queues[c].groups {
				if g.firstJob() == nil || g.waitsForLimit || t.limit == nil || (s.paused.NonIdempotent && !g.key.idempotent) {
					continue
				}
				room := !g.requirement.blocked
				for _, h := range s.hostList {
					room = room || (h != nil && !g.requirement.gang() && g.requirement.key.size.Fits(h.view.Free))
				}
				if room {
					groups = append(groups, g)
				}
			}
		}
	}
	return groups
}

// checkSummary compares the running totals with sums over jobs and hosts.
func (m *model) checkSummary() {
	s := m.s
	got := s.Summary()
	want := got
	want.Waiting, want.ReadyHosts, want.Limits = 0, 0, map[string]LimitUse{}
	for name, l := range s.limits {
		want.Limits[name] = LimitUse{Allotted: l.allotted, Used: l.used + l.heldUnits}
	}
	room := map[resource.Vector]int64{}
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		// A host whose quarantine ended counts as ready from the next Decide
		// on.
		if _, out := s.health.Quarantined(h.view.ID); (out && h.ready) || (!out && s.acceptsTasks(h, s.now)) {
			room[h.view.Capacity]++
			if !h.free().IsNegative() {
				want.ReadyHosts++
			}
		}
	}
	// Tasks of one team and size count together, and each part of a spanning
	// gang for itself.
	type sizeKey struct {
		team *team
		size resource.Vector
		part *job
	}
	first, waiting := s.firstSpanningByLimit(), map[sizeKey]int64{}
	for _, j := range s.jobList {
		if j.closed {
			continue
		}
		want.Waiting += int(j.waiting)
		if l := j.team.limit; l != nil && j.cost < uncoverableCost && j.hold == nil && (!j.spanning || first[l] == j) {
			k := sizeKey{team: j.team, size: j.spec.Size}
			if j.spanning {
				k.part = j
			}
			waiting[k] += int64(j.waiting)
		}
	}
	for k, n := range waiting {
		l := k.team.limit
		use := want.Limits[l.spec.Name]
		held := int64(0)
		for capacity, hosts := range room {
			held += hosts * int64(gang.TasksThatFit(k.size, capacity))
		}
		use.Waiting += l.cost(k.size) * min(n, held)
		want.Limits[l.spec.Name] = use
	}
	if d := cmp.Diff(want, got); d != "" {
		m.violation("summary: %s", d)
	}
}

// TestManySizesDeterminism guards against decisions that depend on the
// iteration order of a map, with a different size for each job.
func TestManySizesDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		sc.manySizes = true
		a, b := sc.build(), sc.build()
		a.run(20e9, 50e6)
		b.run(20e9, 50e6)
		if d := cmp.Diff(a.actions, b.actions); d != "" {
			t.Fatalf("same events, different actions: %s", d)
		}
	})
}
