package scheduler

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// checkFeasible checks whether new jobs can ever run, and checks all jobs after
// the hosts or the limits changed.
func (s *Scheduler) checkFeasible() {
	list := s.uncheckedJobs
	s.uncheckedJobs = nil
	if s.recheckJobs {
		s.recheckJobs = false
		list = s.jobList
	}
	for _, j := range list {
		if len(s.hosts) > 0 && !j.closed && j.waiting > 0 {
			s.checkJobFeasible(j)
		}
	}
}

// checkJobFeasible closes a job that can never run, if this shard has all
// hosts. A job that was feasible before keeps waiting for InfeasibleTimeout,
// since a host may only be restarting.
func (s *Scheduler) checkJobFeasible(j *job) {
	reason := s.infeasible(j)
	if reason == "" {
		j.everFeasible, j.infeasible = true, false
		return
	}
	if !s.options.HasAllHosts {
		s.offer(j)
		return
	}
	if !j.infeasible {
		j.infeasible, j.infeasibleSince = true, s.now
	}
	if j.everFeasible && s.now-j.infeasibleSince < s.options.InfeasibleTimeout {
		return
	}
	s.close(j, work.Infeasible, reason)
}

// infeasible returns why j can never run on the hosts or within the limit, or
// "".
func (s *Scheduler) infeasible(j *job) string {
	n := int64(1)
	if j.spec.Kind == work.Gang {
		n = int64(j.pending)
	}
	if l := j.team.limit; l != nil {
		if j.cost >= uncoverableCost {
			return fmt.Sprintf("infeasible: one %s of limit %q is %s, a task needs %s", l.spec.UnitName, l.spec.Name, l.spec.Unit, j.spec.Size)
		}
		if j.cost*n > l.spec.Units {
			return fmt.Sprintf("infeasible: limit %q is %d %s, a start needs %d", l.spec.Name, l.spec.Units, l.spec.UnitName, j.cost*n)
		}
	}
	room := 0
	for _, c := range s.capacities {
		room += s.capacityCounts[c] * gang.TasksThatFit(j.spec.Size, c)
	}
	if room == 0 {
		return "infeasible: " + describeShortage(j.spec.Size, s.closestCapacity(j.spec.Size))
	}
	if int64(room) < n {
		return fmt.Sprintf("infeasible: empty hosts hold %d tasks, the gang has %d", room, n)
	}
	return ""
}

// closestCapacity returns the host capacity that lacks the fewest resources for
// size.
func (s *Scheduler) closestCapacity(size resource.Vector) resource.Vector {
	var best resource.Vector
	for _, c := range s.capacities {
		if missingResources(size, c) < missingResources(size, best) || best.IsZero() {
			best = c
		}
	}
	return best
}

// missingResources counts the resources of which c has less than size.
func missingResources(size, c resource.Vector) int {
	n := 0
	for i := range resource.Dimensions {
		if size.At(i) > c.At(i) {
			n++
		}
	}
	return n
}

// describeShortage describes the first resource of which host, the closest
// capacity, has too little.
func describeShortage(size, host resource.Vector) string {
	switch {
	case size.MilliCPU > host.MilliCPU:
		return fmt.Sprintf("the closest host has %s cores, a task needs %s", cores(host.MilliCPU), cores(size.MilliCPU))
	case size.MemoryMiB > host.MemoryMiB:
		return fmt.Sprintf("the closest host has %d MiB of memory, a task needs %d", host.MemoryMiB, size.MemoryMiB)
	default:
		return fmt.Sprintf("the closest host has %d accelerators, a task needs %d", host.Accelerators, size.Accelerators)
	}
}

// cores formats thousandths of a core as cores, without a fraction if it is
// zero.
func cores(milli int64) string {
	if milli%1000 == 0 {
		return fmt.Sprint(milli / 1000)
	}
	return fmt.Sprintf("%d.%03d", milli/1000, milli%1000)
}
