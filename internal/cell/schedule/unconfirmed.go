package schedule

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

// recordUnconfirmed records an unconfirmed crash under a task, or under its gang.
func (s *Scheduler) recordUnconfirmed(t *task, c cell.UnconfirmedCrash) {
	j := t.group.job
	if t.done || j.state.Final() {
		return
	}
	s.addUnconfirmed(t, c)
	t.forgetTrial(t.trial.Run)
	s.changed[j.sub.ID] = true
	s.logMessage(j.sub.ID, c.Host.ID, "The host may have crashed under a task of the submission; that counts once another instance of it has answered.")
	s.judge(t, false)
}

// addUnconfirmed adds an unconfirmed crash.
func (s *Scheduler) addUnconfirmed(t *task, c cell.UnconfirmedCrash) {
	t.detailsChanged()
	if !t.evidence.AddUnconfirmed(c, s.now) {
		return
	}
	if tasks := s.unconfirmed[c.Host.ID]; !slices.Contains(tasks, t) {
		s.unconfirmed[c.Host.ID] = append(tasks, t)
	}
}

// restoreUnconfirmed takes over what an earlier owner stored.
func (s *Scheduler) restoreUnconfirmed(t *task, stored []cell.UnconfirmedCrash) {
	if t.done {
		return
	}
	for _, c := range stored {
		s.addUnconfirmed(t, c)
	}
}

// settleCrashes settles the unconfirmed crashes of a host that answers: the same instance
// has not crashed, another one shows that the former one has.
func (s *Scheduler) settleCrashes(h *host, startedMs int64) {
	if startedMs == 0 || len(s.unconfirmed[h.spec.ID]) == 0 {
		return
	}
	s.settle(h.spec.ID, func(t *task, c crash.Unconfirmed) {
		switch c.Host.StartedMs {
		case 0: // which instance may have crashed is unknown
		case startedMs:
			s.logMessage(t.id.Submission, h.spec.ID, "The host answers as the same instance; it has not crashed.")
		default:
			s.confirm(t, c)
		}
	})
}

// confirmCrashes counts the unconfirmed crashes of a host in whose place another instance
// answers.
func (s *Scheduler) confirmCrashes(h *host) { s.settle(h.spec.ID, s.confirm) }

func (s *Scheduler) confirm(t *task, c crash.Unconfirmed) {
	s.countCrash(t, c.Host.ID, c.Crash, c.Alone)
}

// settleGoneHost settles the unconfirmed crashes of a host that the platform treats as
// gone. Nobody knows when and why it went, as if it had crashed behind a cut.
func (s *Scheduler) settleGoneHost(id string) {
	s.settle(id, func(t *task, c crash.Unconfirmed) {
		s.countCrash(t, id, cell.Crash{Run: c.Run, Silent: true, Members: c.Members}, false)
	})
}

// settleUnknownHosts settles the unconfirmed crashes of hosts that an earlier owner has
// removed.
func (s *Scheduler) settleUnknownHosts() {
	var gone []string
	for id := range s.unconfirmed {
		if s.hosts[id] == nil {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		s.settleGoneHost(id)
	}
}

// settle removes the unconfirmed crashes of a host, and passes each of them to count.
func (s *Scheduler) settle(id string, count func(*task, crash.Unconfirmed)) {
	tasks := s.unconfirmed[id]
	delete(s.unconfirmed, id)
	var judged []*job
	for _, t := range tasks {
		settled := t.evidence.TakeUnconfirmed(id)
		if len(settled) == 0 {
			continue
		}
		t.detailsChanged()
		s.changed[t.id.Submission] = true
		for _, c := range settled {
			count(t, c)
		}
		if j := t.group.job; len(judged) == 0 || judged[len(judged)-1] != j {
			judged = append(judged, j)
		}
	}
	for _, j := range judged {
		s.endUnfoundedSuspicion(j)
	}
}

// endUnfoundedSuspicion ends the suspicion of a job once no crash speaks for it any more.
func (s *Scheduler) endUnfoundedSuspicion(j *job) {
	if !j.suspected || j.state.Final() {
		return
	}
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if !t.done && t.evidence.Suspects() {
				return
			}
		}
	}
	j.suspected = false
	s.logMessage(j.sub.ID, "", "The submission is no longer suspected of crashing hosts.")
}

// awaitsConfirmation reports whether a task of the group waits since too many hosts may have
// crashed under it.
func (s *Scheduler) awaitsConfirmation(g *group) bool {
	return len(s.unconfirmed) > 0 && slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.done && t.evidence.AwaitsConfirmation(s.now) })
}
