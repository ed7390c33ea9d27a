package scheduler

import (
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// maxPreemptHosts bounds the hosts with possible victims among which the one
// with the least lost work is chosen.
const maxPreemptHosts = 64

// preemptUrgent frees capacity for urgent tasks that fit on no host.
func (s *Scheduler) preemptUrgent() {
	if s.paused.All {
		return
	}
	for _, t := range s.teamList {
		if t.limit == nil {
			continue
		}
		for _, g := range t.queues[work.Urgent].groups {
			if len(s.urgentReservations) >= s.options.MaxPreemptions || s.actionsFull() {
				return
			}
			s.preemptForGroup(g)
		}
	}
}

// preemptForGroup reserves capacity by preemption for the waiting starts of a
// group, as far as the limit allows them.
func (s *Scheduler) preemptForGroup(g *jobGroup) {
	if s.now < g.nextPreempt || s.mayFit(g.requirement) || (s.paused.NonIdempotent && !g.key.idempotent) {
		return
	}
	starts, lim := 0, g.team.limit
	for _, j := range g.jobs {
		if j.group == g && j.schedulable() {
			starts += int(j.waiting) / int(g.requirement.key.count)
		}
	}
	if g.cost > 0 {
		starts = min(starts, int(max(lim.room(), 0)/g.cost))
	}
	for g.reservations < starts && len(s.urgentReservations) < s.options.MaxPreemptions && !s.actionsFull() {
		if !s.preemptForStart(g) {
			g.nextPreempt = s.now + preemptRetryInterval
			return
		}
	}
}

func (s *Scheduler) preemptForStart(g *jobGroup) bool {
	r := &reservation{group: g, since: s.now}
	size, n := g.requirement.key.size, int(g.requirement.key.count)
	s.computeEntitledShares()
	// An urgent team whose share would exceed its entitlement with the new
	// tasks may not stop tasks of a team that is within its own.
	g.team.aboveEntitled = fairshare.DominantShare(g.team.used.Add(size.Scale(int64(n))), s.capacity) > g.team.entitled
	if n > 1 {
		if !s.planReservation(r, n, size, s.preempter.Victims, g.team) {
			return false
		}
	} else {
		best, ok := s.cheapestHost(g)
		if !ok {
			return false
		}
		s.reserve(r, best.host, best.need, 1, best.drain)
	}
	g.reservations++
	s.urgentReservations = append(s.urgentReservations, r)
	for _, p := range r.placements {
		for _, a := range p.host.running {
			if a.drainedFor == r {
				s.stop(a, StopCheckpoint, "preempted for urgent work")
			}
		}
	}
	return true
}

// cheapestHost returns the host that loses the least work for one task of g.
// The search starts where the last one ended, and ends after maxPreemptHosts
// candidates.
func (s *Scheduler) cheapestHost(g *jobGroup) (best hostOption, found bool) {
	left := maxPreemptHosts
	for range s.hostList {
		s.preemptCursor = (s.preemptCursor + 1) % len(s.hostList)
		h := s.hostList[s.preemptCursor]
		if h == nil || h.reservation != nil || !s.reservable(h) || !g.requirement.key.size.Fits(h.view.Capacity) {
			continue
		}
		o, ok := s.optionFor(h, 1, g.requirement.key.size, s.preempter.Victims, g.team)
		if !ok {
			continue
		}
		if !found || o.cost < best.cost {
			best, found = o, true
		}
		if left--; left == 0 || best.cost == 0 {
			break
		}
	}
	return best, found
}

// stoppable reports whether urgent work of team t may stop a. Urgent and
// started non-idempotent work is never stopped. If t would exceed its entitled
// share, only work of t itself or of teams above their entitled share is.
func (s *Scheduler) stoppable(a *attempt, t *team) bool {
	if a.job.spec.Class == work.Urgent || !a.job.spec.Idempotent || !a.current {
		return false
	}
	victim := a.job.team
	return victim == t || !t.aboveEntitled || victim.aboveEntitled
}

// computeEntitledShares computes the entitled share of every team and which
// teams exceed it. The demand of a team with waiting work is unlimited, that of
// another team is its current use.
func (s *Scheduler) computeEntitledShares() {
	weights, demands := make([]int64, len(s.teamList)), make([]int64, len(s.teamList))
	for i, t := range s.teamList {
		weights[i], demands[i] = t.weight, t.share
		if t.waiting > 0 {
			demands[i] = fairshare.FullShare
		}
	}
	for i, share := range fairshare.EntitledShares(weights, demands) {
		t := s.teamList[i]
		t.entitled = share
		t.aboveEntitled = t.share > share
	}
}
