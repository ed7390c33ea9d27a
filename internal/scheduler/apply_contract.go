package scheduler

import (
	"container/heap"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
)

func (s *Scheduler) contractChanged(c Contract) {
	s.dropHolds()
	c.Policy = c.Policy.withDefaults()
	s.contract = c
	old := s.limits
	s.limits = map[string]*limit{}
	for _, name := range sortedKeys(c.Limits) {
		l := old[name]
		if l == nil {
			l = &limit{}
		}
		l.spec, l.allotted = c.Limits[name], s.allotments[name]
		s.limits[name] = l
	}
	for _, name := range sortedKeys(old) {
		s.resumeAll(old[name])
		old[name].keptFor = nil
	}
	s.recomputeUsage()
}

// recomputeUsage recomputes what every team and limit uses.
func (s *Scheduler) recomputeUsage() {
	for _, t := range s.teamList {
		s.applyContractToTeam(t)
		t.used, t.live = resource.Vector{}, 0
		t.demand = 0
		t.sizeDemands.reset()
	}
	for _, name := range sortedKeys(s.limits) {
		s.limits[name].used = 0
	}
	for _, j := range s.jobList {
		s.applyContractToJob(j)
		if !j.closed {
			j.addDemand(int64(j.waiting))
		}
	}
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		for _, a := range h.running {
			if t := a.chargedTeam; t != nil {
				a.cost = a.job.cost
				t.used, t.live = t.used.Add(a.size), t.live+1
				if t.limit != nil {
					t.limit.used += a.cost
				}
			}
		}
	}
	for _, t := range s.teamList {
		t.share = fairshare.DominantShare(t.used, s.capacity)
		for c := range t.queues {
			for _, g := range t.queues[c].groups {
				g.updateCost()
				heap.Init(&g.jobs)
			}
			s.relistAll(&t.queues[c])
		}
	}
	s.recheckJobs = true
	s.limitsChanged()
}

func (s *Scheduler) allotmentsChanged(units map[string]int64) {
	s.allotments = make(map[string]int64, len(units))
	for name, n := range units {
		s.allotments[name] = n
	}
	s.limitsChanged()
}

func (s *Scheduler) limitsChanged() {
	for _, name := range sortedKeys(s.limits) {
		l := s.limits[name]
		l.allotted = s.allotments[name]
		s.resumeAll(l)
		s.checkLimit(l)
	}
	s.restartSearches()
}
