package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// candidates bounds the hosts that are scored for one batch task.
const candidates = 8

// classOrder is the order in which classes are served.
var classOrder = [...]work.Class{work.Urgent, work.Normal, work.Background}

// place starts waiting tasks until nothing more fits, the actions are full or
// the budget of lanes is spent.
func (s *Scheduler) place() {
	if s.paused.All {
		return
	}
	s.examined = 0
	s.pruneOpen()
	for !s.full() && s.examined <= laneBudget {
		l := s.nextLane()
		if l == nil {
			break
		}
		s.placeTop(l)
	}
	// Without this a host that only started shapes fit stays listed as long as
	// a new small shape arrives before each Decide.
	s.pruneOpen()
}

// headOf returns the lane of a team that goes first in class c. Background
// work counts as normal once it is old.
func (s *Scheduler) headOf(t *team, c work.Class) *lane {
	if t.limit == nil {
		return nil
	}
	l := t.queues[c].choose(s)
	if c != work.Normal {
		return l
	}
	return s.older(l, t.queues[work.Background].choose(s))
}

// older returns the first normal lane l of a team, or its first background
// lane b if that is before it and old enough. Either may be nil.
func (s *Scheduler) older(l, b *lane) *lane {
	if b != nil && (l == nil || b.first.before(l.first)) && s.now-b.first.progress >= backgroundFactor*s.contract.Policy.MaxWait {
		return b
	}
	return l
}

// placeTop starts the first task or gang of a lane, or parks the lane.
func (s *Scheduler) placeTop(l *lane) {
	j := l.top()
	if j != l.first {
		s.relist(l)
		return
	}
	if !s.limitAllows(l, j) {
		return
	}
	if j.spec.Kind == work.Gang {
		s.placeGang(l, j)
		return
	}
	h := s.pickHost(j)
	if h == nil {
		s.noHost(l, j)
		return
	}
	s.startNext(l, j, h)
	s.pruneHost(h)
}

// limitAllows reports whether the limit has room for one start of the lane.
// A job past MaxWait keeps the limit's room for itself.
func (s *Scheduler) limitAllows(l *lane, j *job) bool {
	lim := l.team.limit
	if k := lim.holder; k != nil && k != j {
		if s.holds(lim, k) {
			s.park(lim, l)
			return false
		}
		lim.holder = nil
		s.unpark(lim)
	}
	if l.cost <= lim.room() {
		return true
	}
	if lim.holder == nil && l.cost <= lim.allotted && s.now-j.progress >= s.contract.Policy.MaxWait {
		lim.holder = j
	}
	s.park(lim, l)
	return false
}

// holds reports whether k still keeps the room of the limit for itself.
func (s *Scheduler) holds(lim *limit, k *job) bool {
	return k.open() && k.lane.cost <= lim.allotted && k.team.limit == lim &&
		(k.spec.Idempotent || !s.paused.NonIdempotent)
}

// noHost parks a lane that fits on no host. It gives up a hold on the limit,
// which would keep others from hosts that they fit on.
func (s *Scheduler) noHost(l *lane, j *job) {
	if lim := l.team.limit; lim.holder == j {
		lim.holder = nil
		s.unpark(lim)
	}
	s.block(l.shape)
}

// pickHost returns the best host for one task of j, or nil.
func (s *Scheduler) pickHost(j *job) *host {
	s.request = plan.Request{Size: j.spec.Size, Packing: s.contract.Policy.PackingWeight, Placed: j.placed}
	if j.spec.Kind == work.Service {
		return s.pickSpread()
	}
	var best *host
	var high int64
	left := candidates
	s.index.Visit(j.spec.Size, s.request.Packing >= 50, func(i int) bool {
		h := s.hostList[i]
		if !s.packFilter.Admits(&s.request, &h.view) {
			return true
		}
		if score := s.packScore.Score(&s.request, &h.view); best == nil || score > high {
			best, high = h, score
		}
		left--
		return left > 0
	})
	return best
}

// pickSpread returns the best host of the rack that spreads best. All hosts of
// a rack have the same spread, so it is computed once for each rack.
func (s *Scheduler) pickSpread() *host {
	var best *host
	var spread, pack int64
	for _, rack := range s.racks {
		scored := false
		for _, h := range rack {
			if !s.spreadFilter.Admits(&s.request, &h.view) {
				continue
			}
			if !scored {
				n := s.spreadScore.Score(&s.request, &h.view)
				if best != nil && n < spread {
					break
				}
				if best == nil || n > spread {
					best, spread, pack = nil, n, 0
				}
				scored = true
			}
			if n := s.packScore.Score(&s.request, &h.view); best == nil || n > pack {
				best, pack = h, n
			}
		}
	}
	return best
}

func (s *Scheduler) placeGang(l *lane, j *job) {
	if s.now < l.shape.nextTry {
		s.block(l.shape)
		s.wakeAt(l.shape)
		return
	}
	var hosts []*plan.Host
	var list []*host
	for _, h := range s.hostList {
		if h != nil && j.spec.Size.Fits(h.view.Free) && !s.onProbation(h) {
			hosts = append(hosts, &h.view)
			list = append(list, h)
		}
	}
	spots, ok := gang.Policy{}.Place(int(j.waiting), j.spec.Size, hosts)
	if !ok {
		s.noHost(l, j)
		return
	}
	for _, p := range spots {
		for range p.Tasks {
			s.startNext(l, j, list[p.Host])
		}
	}
}

// onProbation reports whether the host may take one task only.
func (s *Scheduler) onProbation(h *host) bool {
	_, out := s.health.Quarantined(h.view.ID)
	return out
}

// startNext starts the next task of j on h.
func (s *Scheduler) startNext(l *lane, j *job, h *host) {
	i, t := j.next()
	if t == nil {
		return
	}
	if t.attempts == 0 {
		j.team.earn(int64(s.contract.Policy.RetryBudgetPercent), s.now)
	}
	waited := s.queuedFor(t)
	j.take(t)
	t.attempts++
	id := work.AttemptID{Task: work.TaskID{Job: j.spec.ID, Index: i}, Attempt: t.attempts}
	a := &attempt{id: id, job: j, task: t, host: h, size: j.spec.Size, current: true, started: s.now}
	t.run, t.own = a, true
	if s.onProbation(h) {
		h.trial = a
	}
	s.setState(a, TaskStarting)
	s.attach(a)
	j.progress = s.now
	if lim := l.team.limit; lim != nil && lim.holder == j {
		lim.holder = nil
		s.unpark(lim)
	}
	j.aged = false
	if j.waiting == 0 {
		s.relist(l)
	} else {
		s.watchAge(j, s.now+s.contract.Policy.MaxWait)
	}
	s.emit(StartTask{
		Attempt: id, Host: h.view.ID, Size: a.size, Lease: j.spec.Lease, Command: j.spec.Command,
		Idempotent: j.spec.Idempotent, Class: j.spec.Class, Waited: max(waited, time.Duration(0)),
	})
}
