package schedule

import "github.com/medlarpulley/medlarpulley/internal/resource"

// updateUnknownUsage computes, for each team, the most that runs of earlier owners
// may use on hosts that have not answered this owner: no more than the tasks whose
// runs are not known, and no more than these hosts can hold. Without it a team
// could exceed its limit after a takeover, since newer submissions start at once.
func (s *Scheduler) updateUnknownUsage() {
	if s.reconciled {
		return // every host has answered, or its runs have ended
	}
	for _, t := range s.teams {
		t.unknownUsage = resource.Vector{}
	}
	silent, any := s.silentCapacity()
	if !any {
		return
	}
	bestEffortCPU := make(map[*team]int64)
	for _, j := range s.jobs {
		if !j.unreconciled {
			continue
		}
		if !j.sub.Timed() && len(j.groups) == 0 {
			j.team.unknownUsage = j.team.unknownUsage.Add(j.stepsSize())
		}
		for _, g := range j.groups {
			n := int64(g.waiting)
			if g.step.AllowCopies {
				n = int64(g.left) // a task with a known run may have another one
			}
			j.team.unknownUsage = j.team.unknownUsage.Add(g.size.Scale(n))
			bestEffortCPU[j.team] += g.bestEffortCPU() * n
		}
	}
	for _, t := range s.teams {
		t.unknownUsage = t.unknownUsage.Min(silent)
		t.unknownUsage.MilliCPU += bestEffortCPU[t] // it is not bounded by the capacity of hosts
	}
}

// stepsSize returns the size of all tasks of an occurrence.
func (j *job) stepsSize() (total resource.Vector) {
	for i := range j.sub.Steps {
		step := &j.sub.Steps[i]
		total = total.Add(step.Reserved().Scale(int64(step.Count)))
	}
	return total
}

// silentCapacity returns the capacity of the hosts on which runs of earlier owners
// may be present that are not known, and whether there are such hosts.
func (s *Scheduler) silentCapacity() (total resource.Vector, any bool) {
	for _, h := range s.hosts {
		if h.earlierRunsUnknown {
			total, any = total.Add(h.spec.Capacity), true
		}
	}
	return total, any
}
