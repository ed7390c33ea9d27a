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
		s.resize(h.view.Capacity, -1)
		s.resize(spec.Capacity, 1)
		h.view.Capacity = spec.Capacity
	}
	if h.state != spec.State && spec.State == HostLeaving {
		s.moving = append(s.moving, h)
	}
	s.setHostState(h, spec.State)
	s.refresh(h)
}

// setHostState changes the state. A host that is leaving or unreachable and
// was never adopted may still hide tasks.
func (s *Scheduler) setHostState(h *host, st HostState) {
	h.state = st
	switch {
	case st == HostUnknown:
		s.setKnown(h, false)
	case st == HostReady || h.gone:
		s.setKnown(h, true)
	}
}

// setKnown counts the hosts whose tasks are not known. Once there is none,
// nothing that was started before can be hidden.
func (s *Scheduler) setKnown(h *host, known bool) {
	if h.known == known {
		return
	}
	if h.known = known; !known {
		s.unknown++
		return
	}
	if s.unknown--; s.unknown > 0 {
		return
	}
	for _, j := range s.jobList {
		if j.uncertain {
			j.uncertain = false
			if j.closed && j.cursor >= 0 {
				s.closing = append(s.closing, j)
			}
			s.regroup(j)
			s.enter(j)
		}
	}
}

func (s *Scheduler) newHost(spec Host) *host {
	h := &host{}
	s.unknown++
	h.view = plan.Host{ID: spec.ID, Capacity: spec.Capacity}
	h.view.Region = s.domain("region/" + spec.Region)
	h.view.Zone = s.domain("zone/" + spec.Region + "/" + spec.Zone)
	h.view.Rack = s.domain("rack/" + spec.Region + "/" + spec.Zone + "/" + spec.Rack)
	for len(s.racks) <= int(h.view.Rack) {
		s.racks = append(s.racks, nil)
	}
	s.racks[h.view.Rack] = append(s.racks[h.view.Rack], h)
	if n := len(s.free); n > 0 {
		h.index, s.free = s.free[n-1], s.free[:n-1]
		s.hostList[h.index] = h
	} else {
		h.index = len(s.hostList)
		s.hostList = append(s.hostList, h)
	}
	s.hosts[spec.ID] = h
	s.resize(spec.Capacity, 1)
	return h
}

// domain numbers a failure domain. The numbers are as many as the racks,
// zones and regions that ever were, which the sites bound.
func (s *Scheduler) domain(name string) int32 {
	n, ok := s.domains[name]
	if !ok {
		n = int32(len(s.domains))
		s.domains[name] = n
	}
	return n
}

// resize adds n hosts of a capacity to the totals.
func (s *Scheduler) resize(c resource.Vector, n int) {
	s.sizes[c] += n
	switch s.sizes[c] {
	case 0:
		delete(s.sizes, c)
		i := slices.Index(s.sizeList, c)
		s.sizeList = slices.Delete(s.sizeList, i, i+1)
	case n:
		s.sizeList = append(s.sizeList, c)
	}
	s.capacity = s.capacity.Add(c.Scale(int64(n)))
	s.resized = true
	for _, t := range s.teamList {
		t.share = fairshare.Dominant(t.used, s.capacity)
	}
}

func (s *Scheduler) hostGone(id string) {
	h := s.hosts[id]
	if h == nil {
		return
	}
	h.gone = true
	for len(h.running) > 0 {
		s.vanished(h.running[0])
	}
	s.dropHoldsOn(h)
	if h.reserved != nil {
		s.cancelReservation(h.reserved)
	}
	s.refresh(h)
	s.setHostState(h, HostUnreachable)
	delete(s.hosts, id)
	s.racks[h.view.Rack] = slices.DeleteFunc(s.racks[h.view.Rack], func(o *host) bool { return o == h })
	s.hostList[h.index] = nil
	s.free = append(s.free, h.index)
	s.health.Forget(id)
	s.resize(h.view.Capacity, -1)
}

// vanished ends an attempt that runs no more and has no reported end.
func (s *Scheduler) vanished(a *attempt) {
	s.ended(a, TaskEnded{Attempt: a.id, Host: a.host.view.ID, Outcome: work.Lost})
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
			s.vanished(a)
		}
	}
	defer s.setKnown(h, true)
	for _, r := range ev.Running {
		s.adopt(h, r)
		if j := s.jobs[r.Attempt.Task.Job]; j != nil {
			s.after(j)
		}
	}
}

// inFlight reports whether a start may still take effect after a report that
// does not show it: it has no answer yet, or no answer came and the worker may
// still accept it.
func (s *Scheduler) inFlight(a *attempt) bool {
	switch {
	case a.answered:
		return false
	case a.lost:
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
		s.foreign[r.Attempt.Task.Job] = append(s.foreign[r.Attempt.Task.Job], a)
		s.attach(a)
		return
	}
	a.job = j
	s.attach(a)
	s.bind(a)
}

// bind connects an attempt that is counted on its host to its task.
func (s *Scheduler) bind(a *attempt) {
	j := a.job
	t := j.task(a.id.Task.Index)
	if t == nil {
		j.loose = append(j.loose, a)
		return
	}
	a.task = t
	known := t.attempts
	t.attempts = max(t.attempts, a.id.Attempt)
	switch {
	case (t.state == TaskQueued || t.state == TaskHeld) && t.extra == 0 && (!t.own || a.id.Attempt >= known):
		if t.startable() {
			j.count(-1)
		}
		t.run, a.current, t.ran, t.delayed = a, true, true, false
		t.state = a.state
		if j.spanning && !j.wholeTimer {
			s.watchWhole(j)
		}
		if j.closed && j.endOf == work.Cancelled {
			s.stop(a, StopKill, "job cancelled")
		}
	default:
		if t.startable() {
			j.count(-1)
		}
		t.extra++
		t.ran = true
		if j.spec.Idempotent {
			s.stop(a, StopKill, "another attempt is known")
		}
	}
}

// waitOf returns how long after a loss a held task may still run.
func waitOf(lease time.Duration) time.Duration {
	return lease + lease/100 + 500*time.Millisecond + startValidity
}
