package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/crash"

// hostsPerRiskyQueue limits the hosts that the new submissions of a risky queue may
// crash to one in hostsPerRiskyQueue: those that are down, and those that are expected
// to crash among the submissions that have just started.
const hostsPerRiskyQueue = 4

// risk returns the risk of the queue of a job.
func (s *Scheduler) risk(j *job) *crash.Risk { return s.risks.Of(j.queue.Name, s.now) }

// addRisk counts a crash for the queues of the runs that had started right before it;
// the number of crashes is -1 if the host had not crashed after all.
func (s *Scheduler) addRisk(h *host, crashes float64) {
	for r, share := range s.recentQueues(h) {
		r.Add(0, crashes*share, s.now)
	}
	if h.trial != nil {
		s.risk(h.trial.task.group.job).AddTrial(crashes, s.now)
	}
}

// recentQueues returns the queues of the runs that had started right before a crash,
// and the share that each of them has.
func (s *Scheduler) recentQueues(h *host) map[*crash.Risk]float64 {
	recent := 0
	out := make(map[*crash.Risk]float64)
	for _, a := range h.runs {
		if a.recent {
			recent++
			out[s.risk(a.task.group.job)]++
		}
	}
	for r := range out {
		out[r] /= float64(recent)
	}
	return out
}

// updateRisks counts the hosts that are down because of each queue, and its
// submissions whose first tasks have not run for long enough.
func (s *Scheduler) updateRisks() {
	if !s.risks.BeginCount(s.now) {
		return
	}
	for _, h := range s.sortedHosts {
		if h.crashed {
			for r, share := range s.recentQueues(h) {
				r.Down += share
			}
		}
	}
	for _, j := range s.jobs {
		if !j.proven && j.hasRuns() && s.awaitsFirstTask(j) {
			s.risk(j).Unproven++
		}
	}
}

// maxRiskyHosts returns how many hosts the new submissions of a queue may have crashed
// at one time.
func (s *Scheduler) maxRiskyHosts(r *crash.Risk) int {
	return max(1, s.hostsInService()/hostsPerRiskyQueue, int(r.Down)+s.spareHosts())
}

// underTrial reports whether the waiting tasks of a job are started only alone on
// their hosts, one task or one gang at a time.
func (s *Scheduler) underTrial(j *job) bool {
	r := s.risk(j)
	return j.suspected || j.suspectedRuns > 0 || !j.proven && r.Exceeds(crash.ConfinedShare, s.now)
}

// mayStartFirstTask reports whether a submission that awaits its first task may start it
// in view of the crashes of its queue.
func (s *Scheduler) mayStartFirstTask(j *job) bool {
	r := s.risk(j)
	return !j.hasRuns() && r.MayStartFirst(s.maxRiskyHosts(r))
}

// awaitsFirstTask reports whether the other tasks of a submission wait, since tasks
// of its queue have crashed their hosts of late and none of its own has run for long
// enough yet.
func (s *Scheduler) awaitsFirstTask(j *job) bool {
	if j.proven || !s.risk(j).Exceeds(crash.RiskyShare, s.now) {
		return false
	}
	for _, g := range s.examine(j) {
		if g.present == 0 {
			continue
		}
		for _, t := range g.tasks {
			for _, a := range t.runs {
				if a.phase == phaseRunning && !a.host.crashed && s.now >= a.acceptedAt+crash.Window {
					j.proven = true
					return false
				}
			}
		}
	}
	return true
}
