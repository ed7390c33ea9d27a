package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// maxScoredHosts bounds the hosts that are scored for one batch task.
const maxScoredHosts = 8

// classOrder is the order in which priority classes are served.
var classOrder = [...]work.Class{work.Urgent, work.Normal, work.Background}

// placeWaiting starts waiting tasks until nothing more fits, the actions reach
// their bound or maxExaminedGroups is reached.
func (s *Scheduler) placeWaiting() {
	if s.paused.All {
		return
	}
	s.examinedGroups = 0
	s.pruneFreedHosts()
	for !s.actionsFull() && s.examinedGroups <= maxExaminedGroups {
		g := s.nextGroup()
		if g == nil {
			break
		}
		s.placeFirst(g)
	}
	// Without this call, a freed host that only started tasks fit would stay in
	// the list as long as a new job with small tasks arrives before each
	// Decide.
	s.pruneFreedHosts()
}

// firstGroupOfTeam returns the group of a team that comes first in class c.
// Background work counts as normal once it has waited long enough.
func (s *Scheduler) firstGroupOfTeam(t *team, c work.Class) *jobGroup {
	if t.limit == nil {
		return nil
	}
	g := t.queues[c].firstPlaceable(s)
	if c != work.Normal {
		return g
	}
	return s.preferAgedBackground(g, t.queues[work.Background].firstPlaceable(s))
}

// preferAgedBackground returns the first background group b of a team if its
// job precedes that of the first normal group g and has waited long enough,
// otherwise g. Either may be nil.
func (s *Scheduler) preferAgedBackground(g, b *jobGroup) *jobGroup {
	if b != nil && (g == nil || b.first.before(g.first)) && s.now-b.first.lastProgress >= backgroundAgeFactor*s.contract.Policy.MaxWait {
		return b
	}
	return g
}

// placeFirst starts the first task or gang of a group. If that is not possible,
// the group waits for the limit or its requirement is blocked.
func (s *Scheduler) placeFirst(g *jobGroup) {
	j := g.firstJob()
	if j != g.first {
		s.relistGroup(g)
		return
	}
	if !s.limitAllows(g, j) {
		return
	}
	if j.spec.Kind == work.Gang {
		s.placeGang(g, j)
		return
	}
	h := s.chooseHost(j)
	if h == nil {
		s.blockWithoutRoom(g, j)
		return
	}
	s.startNext(g, j, h)
	s.pruneFreedHost(h)
}

// limitAllows reports whether the limit has free units for one start of the
// group. A job that has waited longer than MaxWait keeps the free units of the
// limit for itself.
func (s *Scheduler) limitAllows(g *jobGroup, j *job) bool {
	lim := g.team.limit
	if k := lim.keptFor; k != nil && k != j {
		if s.keepsLimit(lim, k) {
			s.waitForLimit(lim, g)
			return false
		}
		lim.keptFor = nil
		s.resumeAll(lim)
	}
	if g.cost <= lim.room() {
		return true
	}
	if lim.keptFor == nil && g.cost <= lim.allotted && s.now-j.lastProgress >= s.contract.Policy.MaxWait {
		lim.keptFor = j
	}
	s.waitForLimit(lim, g)
	return false
}

// keepsLimit reports whether the free units of the limit are still kept for k.
func (s *Scheduler) keepsLimit(lim *limit, k *job) bool {
	return k.schedulable() && k.group.cost <= lim.allotted && k.team.limit == lim &&
		(k.spec.Idempotent || !s.paused.NonIdempotent)
}

// blockWithoutRoom blocks the requirement of a group that fits on no host. If
// the units of the limit were kept for its job, they are given up, since they
// would keep other jobs from hosts that they fit on.
func (s *Scheduler) blockWithoutRoom(g *jobGroup, j *job) {
	if lim := g.team.limit; lim.keptFor == j {
		lim.keptFor = nil
		s.resumeAll(lim)
	}
	s.block(g.requirement)
}

// chooseHost returns the best host for one task of j, or nil.
func (s *Scheduler) chooseHost(j *job) *host {
	s.request = plan.Request{Size: j.spec.Size, Packing: s.contract.Policy.PackingWeight, Placed: j.placed}
	if j.spec.Kind == work.Service {
		return s.chooseServiceHost()
	}
	var best *host
	var bestScore int64
	left := maxScoredHosts
	s.index.Visit(j.spec.Size, s.request.Packing >= 50, func(i int) bool {
		h := s.hostList[i]
		if !s.packFilter.Admits(&s.request, &h.view) {
			return true
		}
		if score := s.packScore.Score(&s.request, &h.view); best == nil || score > bestScore {
			best, bestScore = h, score
		}
		left--
		return left > 0
	})
	return best
}

// chooseServiceHost returns the best host of the rack with the best spread. All
// hosts of a rack have the same spread, so it is computed once for each rack.
func (s *Scheduler) chooseServiceHost() *host {
	var best *host
	var spread, pack int64
	for _, rack := range s.hostsByRack {
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

func (s *Scheduler) placeGang(g *jobGroup, j *job) {
	if s.now < g.requirement.nextSearch {
		s.block(g.requirement)
		s.scheduleSearch(g.requirement)
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
	placements, ok := gang.Policy{}.Place(int(j.waiting), j.spec.Size, hosts)
	if !ok {
		s.blockWithoutRoom(g, j)
		return
	}
	for _, p := range placements {
		for range p.Tasks {
			s.startNext(g, j, list[p.Host])
		}
	}
}

// onProbation reports whether the host is quarantined, so that it runs at most
// one task at a time.
func (s *Scheduler) onProbation(h *host) bool {
	_, out := s.health.Quarantined(h.view.ID)
	return out
}

// startNext starts the next task of j on h.
func (s *Scheduler) startNext(g *jobGroup, j *job, h *host) {
	i, t := j.nextTask()
	if t == nil {
		return
	}
	if t.attempts == 0 {
		j.team.addRetryBudget(int64(s.contract.Policy.RetryBudgetPercent), s.now)
	}
	waited := s.queuedFor(t)
	j.takeNext(t)
	t.attempts++
	id := work.AttemptID{Task: work.TaskID{Job: j.spec.ID, Index: i}, Attempt: t.attempts}
	a := &attempt{id: id, job: j, task: t, host: h, size: j.spec.Size, current: true, started: s.now}
	t.currentAttempt, t.startedHere = a, true
	if s.onProbation(h) {
		h.probationAttempt = a
	}
	s.setState(a, TaskStarting)
	s.attach(a)
	j.lastProgress = s.now
	if lim := g.team.limit; lim != nil && lim.keptFor == j {
		lim.keptFor = nil
		s.resumeAll(lim)
	}
	j.aged = false
	if j.waiting == 0 {
		s.relistGroup(g)
	} else {
		s.watchAge(j, s.now+s.contract.Policy.MaxWait)
	}
	s.emit(StartTask{
		Attempt: id, Host: h.view.ID, Size: a.size, Lease: j.spec.Lease, Command: j.spec.Command,
		Idempotent: j.spec.Idempotent, Class: j.spec.Class, Waited: max(waited, time.Duration(0)),
	})
}
