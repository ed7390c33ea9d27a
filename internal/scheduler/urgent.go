package scheduler

import (
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// preemptHosts is the number of hosts with a possible choice of victims among
// which the cheapest is taken.
const preemptHosts = 64

// preemptUrgent makes room for urgent tasks that fit nowhere.
func (s *Scheduler) preemptUrgent() {
	if s.paused.All {
		return
	}
	for _, t := range s.teamList {
		if t.limit == nil {
			continue
		}
		for _, l := range t.queues[work.Urgent].lanes {
			if len(s.urgent) >= s.options.MaxPreemptions || s.full() {
				return
			}
			s.preemptLane(l)
		}
	}
}

// preemptLane reserves room by preemption for the waiting starts of a lane,
// as far as the limit allows them.
func (s *Scheduler) preemptLane(l *lane) {
	if s.now < l.nextPreempt || s.candidate(l.shape) || (s.paused.NonIdempotent && !l.key.idempotent) {
		return
	}
	starts, lim := 0, l.team.limit
	for _, j := range l.jobs {
		if j.lane == l && j.open() {
			starts += int(j.waiting) / int(l.shape.key.count)
		}
	}
	if l.cost > 0 {
		starts = min(starts, int(max(lim.room(), 0)/l.cost))
	}
	for l.reservations < starts && len(s.urgent) < s.options.MaxPreemptions && !s.full() {
		if !s.preemptOne(l) {
			l.nextPreempt = s.now + preemptRetry
			return
		}
	}
}

func (s *Scheduler) preemptOne(l *lane) bool {
	r := &reservation{lane: l, since: s.now}
	size, n := l.shape.key.size, int(l.shape.key.count)
	s.entitle()
	// With the task placed, the team must not rise above its share at the cost
	// of a team that is not above its own.
	l.team.above = fairshare.Dominant(l.team.used.Add(size.Scale(int64(n))), s.capacity) > l.team.entitled
	if n > 1 {
		if !s.planReservation(r, n, size, s.preempter.Victims, l.team) {
			return false
		}
	} else {
		best, ok := s.cheapest(l)
		if !ok {
			return false
		}
		s.reserve(r, best.host, best.need, 1, best.drain)
	}
	l.reservations++
	s.urgent = append(s.urgent, r)
	for _, p := range r.spots {
		for _, a := range p.host.running {
			if a.drains == r {
				s.stop(a, StopCheckpoint, "room for urgent work")
			}
		}
	}
	return true
}

// cheapest returns the host that loses the least work for one task of l. The
// search starts where the last one ended, and ends after preemptHosts choices.
func (s *Scheduler) cheapest(l *lane) (best option, found bool) {
	left := preemptHosts
	for range s.hostList {
		s.cursor = (s.cursor + 1) % len(s.hostList)
		h := s.hostList[s.cursor]
		if h == nil || h.reserved != nil || !s.reservable(h) || !l.shape.key.size.Fits(h.view.Capacity) {
			continue
		}
		o, ok := s.option(h, 1, l.shape.key.size, s.preempter.Victims, l.team)
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

// stoppable reports whether urgent work of team t may stop a: never urgent or
// started non-idempotent work, and, if t would be above its share, only work
// of t or of teams above theirs.
func (s *Scheduler) stoppable(a *attempt, t *team) bool {
	if a.job.spec.Class == work.Urgent || !a.job.spec.Idempotent || !a.current {
		return false
	}
	victim := a.job.team
	return victim == t || !t.above || victim.above
}

// entitle computes which teams are above their entitled share. A team with
// waiting work wants all it can get, another one what it has.
func (s *Scheduler) entitle() {
	weights, demands := make([]int64, len(s.teamList)), make([]int64, len(s.teamList))
	for i, t := range s.teamList {
		weights[i], demands[i] = t.weight, t.share
		if t.waiting > 0 {
			demands[i] = fairshare.One
		}
	}
	for i, share := range fairshare.Entitled(weights, demands) {
		t := s.teamList[i]
		t.entitled = share
		t.above = t.share > share
	}
}
