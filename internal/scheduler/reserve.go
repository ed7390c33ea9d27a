package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// reserveTries bounds the aged jobs that one Decide looks at.
const reserveTries = 8

// age lists a job that has made no progress for MaxWait, so that it may reserve.
func (s *Scheduler) age(j *job) {
	j.ageTimer = false
	if j.closed || j.waiting == 0 || j.aged || s.jobs[j.spec.ID] != j {
		return
	}
	if due := j.progress + s.contract.Policy.MaxWait; due > s.now {
		s.watchAge(j, due)
		return
	}
	j.aged = true
	heap.Push(&s.aged, agedJob{since: j.progress, job: j})
}

// watchAge looks at the age of j at the given clock value. A later value than
// the next offer is left to it: a timer for the whole of MaxWait would keep
// each job in memory that long after its end.
func (s *Scheduler) watchAge(j *job, at time.Duration) {
	if !j.spanning && !j.ageTimer && !j.aged && at-s.now <= s.options.OfferEvery {
		j.ageTimer = true
		s.timers.add(timer{at: at, kind: timerAge, job: j})
	}
}

// reserveAged gives reservations to the jobs that wait longest and cannot be
// placed. A job for which only the hosts of other reservations are in the way
// holds back the younger ones; otherwise they could take each host before it.
func (s *Scheduler) reserveAged() {
	for range reserveTries {
		for len(s.aged) > 0 && s.aged[0].stale() {
			heap.Pop(&s.aged)
		}
		if len(s.aged) == 0 || len(s.reservations) >= s.options.MaxReservations || s.paused.All {
			return
		}
		j := s.aged[0].job
		if j.reservedBy == nil && j.open() && !s.candidate(j.lane.shape) {
			done, wait := s.reserveFor(j)
			if wait {
				return
			}
			if done {
				heap.Pop(&s.aged)
				continue
			}
		}
		// Look again later; the job keeps its age.
		heap.Pop(&s.aged)
		j.aged = false
		s.watchAge(j, s.now+time.Second)
	}
}

// reserveFor reserves the hosts that are expected to have room for j first.
// wait is set if the hosts suffice but for those that others reserved.
func (s *Scheduler) reserveFor(j *job) (done, wait bool) {
	r := &reservation{lane: j.lane, job: j, since: s.now}
	n := int(j.lane.shape.key.count)
	if s.planReservation(r, n, j.spec.Size, s.reserver.Drain, nil) {
		s.reservations = append(s.reservations, r)
		j.reservedBy = r
		return true, false
	}
	for _, h := range s.hostList {
		if h != nil && s.reservable(h) {
			n -= gang.Room(j.spec.Size, h.view.Capacity)
		}
	}
	return false, n <= 0
}

type drainFunc func(need, free resource.Vector, running []plan.Running) (plan.Drain, bool)

// option is a host that could make room, and how.
type option struct {
	host  *host
	tasks int
	need  resource.Vector
	drain []*attempt
	cost  time.Duration
}

// planReservation reserves room for n tasks on the hosts with the least cost.
func (s *Scheduler) planReservation(r *reservation, n int, size resource.Vector, drain drainFunc, t *team) bool {
	var options []option
	total := 0
	for _, h := range s.hostList {
		if h == nil || h.reserved != nil || !s.reservable(h) {
			continue
		}
		if o, ok := s.option(h, n, size, drain, t); ok {
			options = append(options, o)
			total += o.tasks
		}
	}
	if total < n {
		return false
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range options {
		if n <= 0 {
			break
		}
		if o.tasks > n {
			o, _ = s.option(o.host, n, size, drain, t)
		}
		s.reserve(r, o.host, o.need, o.tasks, o.drain)
		n -= o.tasks
	}
	return true
}

func (s *Scheduler) reservable(h *host) bool {
	return !h.gone && h.state == HostReady && !s.onProbation(h)
}

// option computes how h could hold up to n tasks, as many as drain allows.
func (s *Scheduler) option(h *host, n int, size resource.Vector, drain drainFunc, t *team) (option, bool) {
	n = min(n, gang.Room(size, h.view.Capacity))
	if n <= 0 {
		return option{}, false
	}
	s.scratch = s.scratch[:0]
	for _, a := range h.running {
		s.scratch = append(s.scratch, s.view(a, t))
	}
	for ; n > 0; n-- {
		need := size.Scale(int64(n))
		if d, ok := drain(need, h.free(), s.scratch); ok {
			o := option{host: h, tasks: n, need: need, cost: d.Cost}
			for _, i := range d.Tasks {
				o.drain = append(o.drain, h.running[i])
			}
			return o, true
		}
	}
	return option{}, false
}

// serviceRest is the assumed rest of a service; it has no expected end.
const serviceRest = 365 * 24 * time.Hour

// view returns what a policy needs to know of an attempt. Team t wants room by
// preemption; it is nil if nothing may be stopped.
func (s *Scheduler) view(a *attempt, t *team) plan.Running {
	v := plan.Running{Size: a.size, Remaining: serviceRest, Ending: a.ending()}
	if a.ending() {
		v.Remaining = s.options.StopGrace
		return v
	}
	if a.job == nil {
		return v
	}
	age := s.now - a.started
	if a.job.spec.Kind != work.Service {
		v.Remaining = s.learner.Remaining(a.job.spec.Template, a.job.spec.Runtime, age)
	}
	v.Lost = age
	if a.job.spec.Kind == work.Gang {
		v.Lost *= time.Duration(max(a.job.live, 1))
	}
	v.Stoppable = t != nil && s.stoppable(a, t)
	return v
}

// useReservations starts what has its room now and drops what is void.
func (s *Scheduler) useReservations() {
	s.reservations = s.useEach(s.reservations)
	s.urgent = s.useEach(s.urgent)
}

func (s *Scheduler) useEach(list []*reservation) []*reservation {
	kept := list[:0]
	for _, r := range list {
		if s.useReservation(r) {
			kept = append(kept, r)
		}
	}
	clear(list[len(kept):])
	return kept
}

// useReservation reports whether r is still waiting.
func (s *Scheduler) useReservation(r *reservation) bool {
	j := r.job
	if j == nil {
		j = r.lane.top()
	}
	if j == nil || len(r.spots) == 0 || !j.open() || j.lane != r.lane || (r.job != nil && j.progress > r.since) || s.broken(r) {
		s.dropReservation(r)
		return false
	}
	if s.paused.All || (s.paused.NonIdempotent && !j.spec.Idempotent) || j.team.limit == nil || !s.met(r) || s.full() {
		return true
	}
	if !s.limitAllows(r.lane, j) {
		return true
	}
	spots := slices.Clone(r.spots)
	s.dropReservation(r)
	for _, p := range spots {
		for range p.tasks {
			s.startNext(r.lane, j, p.host)
		}
	}
	return false
}

// dropReservation gives the hosts back and lets the job age again.
func (s *Scheduler) dropReservation(r *reservation) {
	s.release(r)
	if j := r.job; j != nil {
		j.reservedBy = nil
		j.aged = false
		s.watchAge(j, j.progress+s.contract.Policy.MaxWait)
		return
	}
	r.lane.reservations--
	s.relist(r.lane)
}

// cancelReservation voids a reservation; the next Decide removes it.
func (s *Scheduler) cancelReservation(r *reservation) { s.release(r) }
