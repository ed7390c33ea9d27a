package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// minUseToRefuse is the part of a limit, or of the hosts of a service, that has to be in use
	// for new work to wait: with more left, there is room, and only its order is open. It holds
	// for each resource by itself.
	minUseToRefuse = 0.9
	// minPublishedWait is the least wait that is published. Objectives are longer.
	minPublishedWait = 500 * time.Millisecond
	// maxBacklogWait bounds the waits that are published.
	maxBacklogWait = 10 * time.Minute
)

// backlogKey names waiting work: that of one team in a queue, or of all teams if the team is
// empty, that needs a label.
type backlogKey struct{ team, queue, label string }

// waitingWork is the work of one group that is placed before new work with more laxity, in
// resources times seconds.
type waitingWork struct {
	group  *group
	laxity time.Duration
	work   admission.Amounts
}

// LoadSummary returns the work that new work waits for, and the room that there is for it; nothing
// before the hosts are reconciled, as those that have not reported yet may have room. It counts
// only work that comes before new work for certain: tasks that are ready, of the same queue, in
// time, with no more laxity and for hosts of the same labels.
func (s *Scheduler) LoadSummary() (out admission.Summary) {
	if !s.reconciled {
		return out
	}
	r := newLoadRooms(s)
	if !r.contended() {
		return out
	}
	work := s.waitingWork()
	longest := make(map[string]time.Duration) // the greatest laxity, by queue
	for i := range work {
		name := work[i].group.job.queue.Name
		longest[name] = max(longest[name], work[i].laxity)
	}
	curves := make(map[backlogKey]*backlogCurve)
	add := func(key backlogKey, w *waitingWork, r *loadRoom) {
		if r == nil || !r.contended {
			return
		}
		c := curves[key]
		if c == nil {
			c = &backlogCurve{longest: longest[key.queue], room: r}
			curves[key] = c
		}
		c.add(w)
	}
	for i := range work {
		w := &work[i]
		j, label := w.group.job, w.group.step.Label
		add(backlogKey{j.team.name, j.queue.Name, label}, w, r.ofTeam(j.team))
		if !w.group.excess { // new work of a team below its share comes before it
			add(backlogKey{"", j.queue.Name, label}, w, r.services[j.queue.Service])
		}
	}
	for key, c := range curves {
		if b := c.backlog(key); b.Longest() >= minPublishedWait.Milliseconds() {
			out.Backlogs = append(out.Backlogs, b)
		}
	}
	if len(out.Backlogs) > 0 {
		out.Teams, out.Services = r.published()
	}
	clear(work) // it would keep finished submissions in memory
	return out
}

// waitingWork returns the work that is placed before new work with more laxity.
// The slice is valid until the next call.
func (s *Scheduler) waitingWork() []waitingWork {
	out := s.waitingBuffer[:0]
	for _, g := range s.liveGroups() {
		if !s.isWaiting(g) {
			continue
		}
		laxity := g.job.due - s.now - s.criticalPath(g.job, g.id.Step)
		if laxity < 0 || !comesBeforeNewWork(g) {
			continue
		}
		seconds := s.expected(g, nil).Median.Seconds()
		work := amountsOf(g.size, float64(g.waiting))
		for i := range work {
			work[i] *= seconds
		}
		out = append(out, waitingWork{g, laxity, work})
	}
	s.waitingBuffer = out
	return out
}

// comesBeforeNewWork reports whether a waiting group that is in time is placed before one of a
// submission that arrives now and has as much laxity. Work beyond its team's rate and work under
// trial may not be. Urgent work is not counted, so that none is refused: it is given up as late
// within so short a time that one in seven refused submissions would have ended in time in the
// replay.
func comesBeforeNewWork(g *group) bool {
	j := g.job
	return !j.urgent && !j.overRate && !j.sub.Timed() && !g.step.LongRunning && !g.step.BestEffort && !j.suspected && g.waitReason != waitCapacity
}

// amountsOf returns n times the cores and the memory of a vector.
func amountsOf(v resource.Vector, n float64) admission.Amounts {
	return admission.Amounts{admission.Cores: float64(v.MilliCPU) * n, admission.Memory: float64(v.MemoryMiB) * n}
}
