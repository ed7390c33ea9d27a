package scheduler

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

func (s *Scheduler) hostChanged(spec Host) {
	h := s.hosts[spec.ID]
	if h == nil {
		h = s.newHost(spec)
	} else if h.view.Capacity != spec.Capacity {
		s.countCapacity(h.view.Capacity, -1)
		s.countCapacity(spec.Capacity, 1)
		h.view.Capacity = spec.Capacity
	}
	if h.state != spec.State && spec.State == HostLeaving {
		s.evacuating = append(s.evacuating, h)
	}
	s.setHostState(h, spec.State)
	s.refreshRoom(h)
}

// setHostState changes the state. A host that is leaving or unreachable and was
// never adopted may still run unknown tasks.
func (s *Scheduler) setHostState(h *host, st HostState) {
	h.state = st
	switch {
	case st == HostUnknown:
		s.setKnown(h, false)
	case st == HostReady || h.gone:
		s.setKnown(h, true)
	}
}

// setKnown counts the hosts whose tasks are not known. Once there is none, no
// earlier attempt can be running unnoticed.
func (s *Scheduler) setKnown(h *host, known bool) {
	if h.known == known {
		return
	}
	if h.known = known; !known {
		s.unknownHosts++
		return
	}
	if s.unknownHosts--; s.unknownHosts > 0 {
		return
	}
	for _, j := range s.jobList {
		if j.mayHaveUnadoptedAttempts {
			j.mayHaveUnadoptedAttempts = false
			if j.closed && j.closeCursor >= 0 {
				s.closingJobs = append(s.closingJobs, j)
			}
			s.restartGang(j)
			s.enqueue(j)
		}
	}
}

func (s *Scheduler) newHost(spec Host) *host {
	h := &host{}
	s.unknownHosts++
	h.view = plan.Host{ID: spec.ID, Capacity: spec.Capacity}
	h.view.Region = s.domainID("region/" + spec.Region)
	h.view.Zone = s.domainID("zone/" + spec.Region + "/" + spec.Zone)
	h.view.Rack = s.domainID("rack/" + spec.Region + "/" + spec.Zone + "/" + spec.Rack)
	for len(s.hostsByRack) <= int(h.view.Rack) {
		s.hostsByRack = append(s.hostsByRack, nil)
	}
	s.hostsByRack[h.view.Rack] = append(s.hostsByRack[h.view.Rack], h)
	if n := len(s.freeIndexes); n > 0 {
		h.index, s.freeIndexes = s.freeIndexes[n-1], s.freeIndexes[:n-1]
		s.hostList[h.index] = h
	} else {
		h.index = len(s.hostList)
		s.hostList = append(s.hostList, h)
	}
	s.hosts[spec.ID] = h
	s.countCapacity(spec.Capacity, 1)
	return h
}

// domainID returns the number of a failure domain. Numbers are never reused;
// their count is that of all racks, zones and regions ever seen, which is
// bounded by the racks, zones and regions of the platform.
func (s *Scheduler) domainID(name string) int32 {
	n, ok := s.domainIDs[name]
	if !ok {
		n = int32(len(s.domainIDs))
		s.domainIDs[name] = n
	}
	return n
}

// countCapacity adds n hosts of a capacity to the totals.
func (s *Scheduler) countCapacity(c resource.Vector, n int) {
	s.capacityCounts[c] += n
	switch s.capacityCounts[c] {
	case 0:
		delete(s.capacityCounts, c)
		i := slices.Index(s.capacities, c)
		s.capacities = slices.Delete(s.capacities, i, i+1)
	case n:
		s.capacities = append(s.capacities, c)
	}
	s.capacity = s.capacity.Add(c.Scale(int64(n)))
	s.recheckJobs = true
	for _, t := range s.teamList {
		t.share = fairshare.DominantShare(t.used, s.capacity)
	}
}

func (s *Scheduler) hostGone(id string) {
	h := s.hosts[id]
	if h == nil {
		return
	}
	h.gone = true
	for len(h.running) > 0 {
		s.attemptLost(h.running[0])
	}
	s.dropHoldsOn(h)
	if h.reservation != nil {
		s.cancelReservation(h.reservation)
	}
	s.refreshRoom(h)
	s.setHostState(h, HostUnreachable)
	delete(s.hosts, id)
	s.hostsByRack[h.view.Rack] = slices.DeleteFunc(s.hostsByRack[h.view.Rack], func(o *host) bool { return o == h })
	s.hostList[h.index] = nil
	s.freeIndexes = append(s.freeIndexes, h.index)
	s.health.Forget(id)
	s.countCapacity(h.view.Capacity, -1)
}

// attemptLost ends an attempt that no longer runs and has no reported end.
func (s *Scheduler) attemptLost(a *attempt) {
	s.attemptEnded(a, TaskEnded{Attempt: a.id, Host: a.host.view.ID, Outcome: work.Lost})
}

func (s *Scheduler) hostAdopted(ev HostAdopted) {
	h := s.hosts[ev.Host]
	if h == nil {
		return
	}
	seen := map[work.AttemptID]bool{}
	for _, r := range ev.Running {
		seen[r.Attempt] = true
	}
	for _, a := range slices.Clone(h.running) {
		if !seen[a.id] && !s.inFlight(a) {
			s.attemptLost(a)
		}
	}
	defer s.setKnown(h, true)
	for _, r := range ev.Running {
		s.adopt(h, r)
		if j := s.jobs[r.Attempt.Task.Job]; j != nil {
			s.afterTaskChange(j)
		}
	}
}

// inFlight reports whether a start request may still take effect after a host
// report that does not include its attempt: either no result is known yet, or
// the answer was lost and the worker may still accept the request.
func (s *Scheduler) inFlight(a *attempt) bool {
	switch {
	case a.answered:
		return false
	case a.answerLost:
		return s.now-a.started < startValidity
	default:
		return true
	}
}

func (s *Scheduler) adopt(h *host, r RunningTask) {
	if a := h.find(r.Attempt); a != nil {
		a.answered = true
		if a.current && !a.ending() {
			s.setState(a, TaskRunning)
		}
		return
	}
	a := &attempt{
		id: r.Attempt, host: h, size: r.Size, state: TaskRunning, answered: true,
		started: s.now - max(r.Age, 0),
	}
	j := s.jobs[r.Attempt.Task.Job]
	if j == nil {
		s.unassignedAttempts[r.Attempt.Task.Job] = append(s.unassignedAttempts[r.Attempt.Task.Job], a)
		s.attach(a)
		return
	}
	a.job = j
	s.attach(a)
	s.bind(a)
}

// bind assigns an attempt that is counted on its host to its task.
func (s *Scheduler) bind(a *attempt) {
	j := a.job
	t := j.task(a.id.Task.Index)
	if t == nil {
		j.unboundAttempts = append(j.unboundAttempts, a)
		return
	}
	a.task = t
	known := t.attempts
	t.attempts = max(t.attempts, a.id.Attempt)
	switch {
	case (t.state == TaskQueued || t.state == TaskHeld) && t.otherAttempts == 0 && (!t.startedHere || a.id.Attempt >= known):
		if t.startable() {
			j.addStartable(-1)
		}
		t.currentAttempt, a.current, t.mayHaveRun, t.delayed = a, true, true, false
		t.state = a.state
		if j.spanning && !j.gangDeadlineTimer {
			s.extendGangDeadline(j)
		}
		if j.closed && j.closeOutcome == work.Cancelled {
			s.stop(a, StopKill, "job cancelled")
		}
	default:
		if t.startable() {
			j.addStartable(-1)
		}
		t.otherAttempts++
		t.mayHaveRun = true
		if j.spec.Idempotent {
			s.stop(a, StopKill, "another attempt of the task is known")
		}
	}
}

// heldTimeout returns how long after a loss a held task with this lease may
// still run.
func heldTimeout(lease time.Duration) time.Duration {
	return lease + lease/100 + 500*time.Millisecond + startValidity
}
