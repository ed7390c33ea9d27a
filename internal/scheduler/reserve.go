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

// maxAgedJobsPerDecide bounds the aged jobs that one Decide examines.
const maxAgedJobsPerDecide = 8

// markAged lists a job that has made no progress for MaxWait, so that it may
// get a reservation.
func (s *Scheduler) markAged(j *job) {
	j.ageTimer = false
	if j.closed || j.waiting == 0 || j.aged || s.jobs[j.spec.ID] != j {
		return
	}
	if due := j.lastProgress + s.contract.Policy.MaxWait; due > s.now {
		s.watchAge(j, due)
		return
	}
	j.aged = true
	heap.Push(&s.agedJobs, agedJob{since: j.lastProgress, job: j})
}

// watchAge sets a timer that checks the age of j at the given clock value. A
// value after the next offer sets none, since each offer calls watchAge again:
// a timer for the whole of MaxWait would keep each job in memory that long
// after its end.
func (s *Scheduler) watchAge(j *job, at time.Duration) {
	if !j.spanning && !j.ageTimer && !j.aged && at-s.now <= s.options.OfferInterval {
		j.ageTimer = true
		s.timers.add(timer{at: at, kind: timerAge, job: j})
	}
}

// reserveAged makes reservations for the jobs that have waited longest and
// cannot be placed. If the hosts would suffice for a job but for other
// reservations, it blocks the jobs that waited less; otherwise they could take
// each released host before it.
func (s *Scheduler) reserveAged() {
	for range maxAgedJobsPerDecide {
		for len(s.agedJobs) > 0 && s.agedJobs[0].stale() {
			heap.Pop(&s.agedJobs)
		}
		if len(s.agedJobs) == 0 || len(s.reservations) >= s.options.MaxReservations || s.paused.All {
			return
		}
		j := s.agedJobs[0].job
		if j.reservation == nil && j.schedulable() && !s.mayFit(j.group.requirement) {
			done, wait := s.reserveFor(j)
			if wait {
				return
			}
			if done {
				heap.Pop(&s.agedJobs)
				continue
			}
		}
		// Check again in 1 s; the waiting time of the job is kept.
		heap.Pop(&s.agedJobs)
		j.aged = false
		s.watchAge(j, s.now+time.Second)
	}
}

// reserveFor reserves the hosts that are expected to have enough free capacity
// for j first. wait is set if the hosts would suffice without the other
// reservations.
func (s *Scheduler) reserveFor(j *job) (done, wait bool) {
	r := &reservation{group: j.group, job: j, since: s.now}
	n := int(j.group.requirement.key.count)
	if s.planReservation(r, n, j.spec.Size, s.reserver.Drain, nil) {
		s.reservations = append(s.reservations, r)
		j.reservation = r
		return true, false
	}
	for _, h := range s.hostList {
		if h != nil && s.reservable(h) {
			n -= gang.TasksThatFit(j.spec.Size, h.view.Capacity)
		}
	}
	return false, n <= 0
}

type drainFunc func(need, free resource.Vector, running []plan.Running) (plan.TaskSelection, bool)

// hostOption is a host whose capacity could be freed: for how many tasks, by
// draining which attempts and at which cost.
type hostOption struct {
	host  *host
	tasks int
	need  resource.Vector
	drain []*attempt
	cost  time.Duration
}

// planReservation reserves capacity for n tasks on the hosts with the least
// cost.
func (s *Scheduler) planReservation(r *reservation, n int, size resource.Vector, drain drainFunc, t *team) bool {
	var options []hostOption
	total := 0
	for _, h := range s.hostList {
		if h == nil || h.reservation != nil || !s.reservable(h) {
			continue
		}
		if o, ok := s.optionFor(h, n, size, drain, t); ok {
			options = append(options, o)
			total += o.tasks
		}
	}
	if total < n {
		return false
	}
	slices.SortStableFunc(options, func(a, b hostOption) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range options {
		if n <= 0 {
			break
		}
		if o.tasks > n {
			o, _ = s.optionFor(o.host, n, size, drain, t)
		}
		s.reserve(r, o.host, o.need, o.tasks, o.drain)
		n -= o.tasks
	}
	return true
}

func (s *Scheduler) reservable(h *host) bool {
	return !h.gone && h.state == HostReady && !s.onProbation(h)
}

// optionFor computes how capacity of h could be freed for up to n tasks, as
// many as drain allows.
func (s *Scheduler) optionFor(h *host, n int, size resource.Vector, drain drainFunc, t *team) (hostOption, bool) {
	n = min(n, gang.TasksThatFit(size, h.view.Capacity))
	if n <= 0 {
		return hostOption{}, false
	}
	s.runningBuffer = s.runningBuffer[:0]
	for _, a := range h.running {
		s.runningBuffer = append(s.runningBuffer, s.runningView(a, t))
	}
	for ; n > 0; n-- {
		need := size.Scale(int64(n))
		if d, ok := drain(need, h.free(), s.runningBuffer); ok {
			o := hostOption{host: h, tasks: n, need: need, cost: d.Cost}
			for _, i := range d.Tasks {
				o.drain = append(o.drain, h.running[i])
			}
			return o, true
		}
	}
	return hostOption{}, false
}

// serviceRemaining is the assumed remaining run time of a service, which has no
// expected end.
const serviceRemaining = 365 * 24 * time.Hour

// runningView returns what a placement policy needs to know of an attempt. Team
// t needs capacity by preemption; it is nil if nothing may be stopped.
func (s *Scheduler) runningView(a *attempt, t *team) plan.Running {
	v := plan.Running{Size: a.size, Remaining: serviceRemaining, Stopping: a.ending()}
	if a.ending() {
		v.Remaining = s.options.StopGracePeriod
		return v
	}
	if a.job == nil {
		return v
	}
	age := s.now - a.started
	if a.job.spec.Kind != work.Service {
		v.Remaining = s.learner.Remaining(a.job.spec.Template, a.job.spec.Runtime, age)
	}
	v.LostWork = age
	if a.job.spec.Kind == work.Gang {
		v.LostWork *= time.Duration(max(a.job.live, 1))
	}
	v.Stoppable = t != nil && s.stoppable(a, t)
	return v
}

// startReserved starts the jobs whose reserved capacity is free and drops
// reservations that are no longer valid.
func (s *Scheduler) startReserved() {
	s.reservations = s.startEachReserved(s.reservations)
	s.urgentReservations = s.startEachReserved(s.urgentReservations)
}

func (s *Scheduler) startEachReserved(list []*reservation) []*reservation {
	kept := list[:0]
	for _, r := range list {
		if s.startReservation(r) {
			kept = append(kept, r)
		}
	}
	clear(list[len(kept):])
	return kept
}

// startReservation starts the tasks of r if its reserved capacity is free. It
// reports whether r still waits.
func (s *Scheduler) startReservation(r *reservation) bool {
	j := r.job
	if j == nil {
		j = r.group.firstJob()
	}
	if j == nil || len(r.placements) == 0 || !j.schedulable() || j.group != r.group || (r.job != nil && j.lastProgress > r.since) || s.invalid(r) {
		s.dropReservation(r)
		return false
	}
	if s.paused.All || (s.paused.NonIdempotent && !j.spec.Idempotent) || j.team.limit == nil || !s.satisfied(r) || s.actionsFull() {
		return true
	}
	if !s.limitAllows(r.group, j) {
		return true
	}
	placements := slices.Clone(r.placements)
	s.dropReservation(r)
	for _, p := range placements {
		for range p.tasks {
			s.startNext(r.group, j, p.host)
		}
	}
	return false
}

// dropReservation releases the hosts and lets the job wait for a reservation
// again.
func (s *Scheduler) dropReservation(r *reservation) {
	s.releaseHosts(r)
	if j := r.job; j != nil {
		j.reservation = nil
		j.aged = false
		s.watchAge(j, j.lastProgress+s.contract.Policy.MaxWait)
		return
	}
	r.group.reservations--
	s.relistGroup(r.group)
}

// cancelReservation releases the hosts of a reservation; the next Decide
// removes it.
func (s *Scheduler) cancelReservation(r *reservation) { s.releaseHosts(r) }
