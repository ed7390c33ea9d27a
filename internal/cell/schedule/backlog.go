package schedule

import (
	"math"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/fairshare"
)

const (
	// minUseToRefuse is the part of a limit, or of the hosts of a service, that has to be in use
	// for new work to wait: with more left, there is room, and only its order is open.
	minUseToRefuse = 0.9
	// minPublishedWait is the least wait that is published. Objectives are longer.
	minPublishedWait = 500 * time.Millisecond
)

// backlogKey names work of one team and queue.
type backlogKey struct{ team, queue string }

// backlogWork is waiting work, in resources times seconds.
type backlogWork struct {
	team    *team
	service string
	work    fairshare.Amounts
}

// Backlogs returns the least time that new work of each team and queue waits, for those where
// it waits. It counts only work that comes before new work for certain: tasks that are ready,
// of the same queue, in time, and accepted before.
func (s *Scheduler) Backlogs() (out []admission.Backlog) {
	if !s.reconciled {
		return nil // the hosts that have not reported yet may have room
	}
	byTeam, byQueue := s.backlogWork()
	capacity, used := s.serviceUse()
	for key, b := range byTeam {
		q := byQueue[key.queue]
		own := waitFor(b.work, fairshare.AmountsOf(b.team.limit, 1), fairshare.AmountsOf(b.team.used, 1))
		inCell := waitFor(q.work, capacity[q.service], used[q.service])
		if max(own, inCell) >= minPublishedWait {
			out = append(out, admission.Backlog{Team: key.team, Queue: key.queue, OwnMs: own.Milliseconds(), CellMs: inCell.Milliseconds()})
		}
	}
	return out
}

// backlogWork returns the work that comes before new work, by team and queue and by queue.
func (s *Scheduler) backlogWork() (byTeam map[backlogKey]*backlogWork, byQueue map[string]*backlogWork) {
	byTeam, byQueue = make(map[backlogKey]*backlogWork), make(map[string]*backlogWork)
	for _, g := range s.liveGroups() {
		j := g.job
		if !s.isWaiting(g) || !s.comesBeforeNewWork(g) {
			continue
		}
		work := g.waitingAmounts().Scale(s.expected(g, nil).Median.Seconds())
		key := backlogKey{j.team.name, j.queue.Name}
		if byTeam[key] == nil {
			byTeam[key] = &backlogWork{team: j.team, service: j.queue.Service}
		}
		if byQueue[key.queue] == nil {
			byQueue[key.queue] = &backlogWork{service: j.queue.Service}
		}
		byTeam[key].work = byTeam[key].work.Plus(work)
		if !g.excess { // new work of a team below its share comes before it
			byQueue[key.queue].work = byQueue[key.queue].work.Plus(work)
		}
	}
	return byTeam, byQueue
}

// comesBeforeNewWork reports whether a waiting group is placed before one of a submission that
// arrives now. Late work, work beyond its team's rate and work under trial may not be. Urgent
// work is not counted, so that none is refused: it is given up as late within so short a time
// that one in seven refused submissions would have ended in time in the replay.
func (s *Scheduler) comesBeforeNewWork(g *group) bool {
	j := g.job
	return !j.urgent && !j.overRate && !j.sub.Timed() && !g.step.LongRunning && !g.step.BestEffort && !j.suspected && g.waitReason != waitCapacity &&
		j.due-s.now >= j.criticalPath(g.id.Step)
}

// waitFor returns how long work takes at least with a capacity of which some is in use; zero if
// there is room.
func waitFor(work, capacity, used fairshare.Amounts) time.Duration {
	if used.Dominant(capacity) < minUseToRefuse {
		return 0
	}
	seconds := min(work.Dominant(capacity), math.MaxInt32)
	return min(time.Duration(seconds*float64(time.Second)), maxBacklogWait)
}

// maxBacklogWait bounds the waits that are published.
const maxBacklogWait = 10 * time.Minute

// countsAsCapacity reports whether the room of a host counts. That of a host which is out of
// reach, closed or avoided for a moment does: it may serve what waits. That of a host which is
// draining, or whose zone is evacuated, does not.
func (h *host) countsAsCapacity() bool { return h.listed && !h.spec.Leaving && !h.evacuated }

// serviceUse returns the capacity of the hosts of each service, and what is in use.
func (s *Scheduler) serviceUse() (capacity, used map[string]fairshare.Amounts) {
	capacity, used = make(map[string]fairshare.Amounts), make(map[string]fairshare.Amounts)
	for _, h := range s.sortedHosts {
		if h.countsAsCapacity() {
			name := h.spec.Service
			capacity[name] = capacity[name].Plus(fairshare.AmountsOf(h.spec.Capacity, 1))
			used[name] = used[name].Plus(fairshare.AmountsOf(h.used, 1))
		}
	}
	return capacity, used
}

// AdmissionRequest returns what decides whether a submission that arrives now is refused; false
// if it is never refused, as one with due times or a long-running step.
func AdmissionRequest(sub *cell.Submission, q cell.Queue) (r admission.Request, ok bool) {
	if sub.Timed() {
		return r, false
	}
	j := &job{sub: sub, queue: q, steps: len(sub.Steps)}
	for i := range sub.Steps {
		if sub.Steps[i].LongRunning || sub.Steps[i].BestEffort {
			return r, false
		}
		r.Work = max(r.Work, j.criticalPath(i))
	}
	r.ID, r.Team, r.Queue = sub.ID, sub.Team, q.Name
	r.Latest = cell.ScaleDuration(j.objective(), tooLateFactor)
	return r, true
}
