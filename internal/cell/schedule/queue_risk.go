package schedule

import (
	"math"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

const (
	// riskMemory is the time after which a start or a crash counts for 1/e of what it
	// did at first.
	riskMemory = 5 * time.Second
	// forgetRiskAfter is how long after the last start nothing is known of a queue any
	// more. It bounds the queues that are remembered.
	forgetRiskAfter = 20 * riskMemory
	// minRiskCrashes is how many crashes a queue must have caused before its new
	// submissions are started with care.
	minRiskCrashes = 2
	// From the share riskyShare of starts that crash their hosts on, a submission of the
	// queue starts one task first; from confinedShare on, its tasks are started only
	// alone on the few hosts for suspected tasks.
	riskyShare    = 0.06
	confinedShare = 0.15
	// hostsPerRiskyQueue limits the hosts that the new submissions of such a queue may
	// crash to one in hostsPerRiskyQueue: those that are down, and those that are expected
	// to crash among the submissions that have just started.
	hostsPerRiskyQueue = 4
)

// queueRisk is how often the tasks of a queue have crashed their hosts of late.
type queueRisk struct {
	starts, crashes float64
	// trialCrashes counts the trials that have crashed their hosts likewise.
	trialCrashes float64
	at           time.Duration
	// down is how many hosts are down of which the queue's tasks are the suspected cause,
	// unproven the number of submissions whose first tasks have not run for long enough,
	// and preparing the number of those that may start one and wait for advice.
	down                float64
	unproven, preparing int
}

// add counts starts and crashes. A crash that several runs may have caused counts for
// each of them in part.
func (r *queueRisk) add(starts, crashes float64, now time.Duration) {
	r.decay(now)
	r.starts += starts
	r.crashes = max(r.crashes+crashes, 0)
}

func (r *queueRisk) decay(now time.Duration) {
	f := math.Exp(-(now - r.at).Seconds() / riskMemory.Seconds())
	r.starts, r.crashes, r.trialCrashes, r.at = r.starts*f, r.crashes*f, r.trialCrashes*f, now
}

// trialsCrash reports whether trials have crashed their hosts of late.
func (r *queueRisk) trialsCrash(now time.Duration) bool {
	r.decay(now)
	return r.trialCrashes >= maxSharedCrashes
}

// exceeds reports whether the share of starts that crashed their hosts is at least a
// given one.
func (r *queueRisk) exceeds(share float64, now time.Duration) bool {
	if r.crashes == 0 {
		return false
	}
	r.decay(now)
	return r.crashes >= minRiskCrashes && r.crashes >= share*r.starts
}

// share returns the share of starts that crashed their hosts.
func (r *queueRisk) share() float64 { return r.crashes / max(r.starts, 1) }

// forgetOldRisks removes the queues from which nothing has started for a long time.
func (s *Scheduler) forgetOldRisks() {
	for name, r := range s.risks {
		if s.now > r.at+forgetRiskAfter {
			delete(s.risks, name)
		}
	}
}

// risk returns the risk of the queue of a job.
func (s *Scheduler) risk(j *job) *queueRisk {
	r := s.risks[j.queue.Name]
	if r == nil {
		r = &queueRisk{at: s.now}
		s.risks[j.queue.Name] = r
	}
	return r
}

// addRisk counts a crash for the queues of the runs that had started right before it;
// the number of crashes is -1 if the host had not crashed after all.
func (s *Scheduler) addRisk(h *host, crashes float64) {
	for r, share := range s.recentQueues(h) {
		r.add(0, crashes*share, s.now)
	}
	if h.trial != nil {
		r := s.risk(h.trial.task.group.job)
		r.decay(s.now)
		r.trialCrashes = max(r.trialCrashes+crashes, 0)
	}
}

// recentQueues returns the queues of the runs that had started right before a crash,
// and the share that each of them has.
func (s *Scheduler) recentQueues(h *host) map[*queueRisk]float64 {
	recent := 0
	out := make(map[*queueRisk]float64)
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
	risky := false
	for _, r := range s.risks {
		r.down, r.unproven, r.preparing = 0, 0, 0
		risky = risky || r.exceeds(riskyShare, s.now)
	}
	if !risky {
		return
	}
	for _, h := range s.sortedHosts {
		if h.crashed {
			for r, share := range s.recentQueues(h) {
				r.down += share
			}
		}
	}
	for _, j := range s.jobs {
		if !j.proven && j.hasRuns() && s.awaitsFirstTask(j) {
			s.risk(j).unproven++
		}
	}
}

// maxRiskyHosts returns how many hosts the new submissions of a queue may have crashed
// at one time.
func (s *Scheduler) maxRiskyHosts(r *queueRisk) int {
	return max(1, s.hostsInService()/hostsPerRiskyQueue, int(r.down)+s.spareHosts())
}

// underTrial reports whether the waiting tasks of a job are started only alone on
// their hosts, one task or one gang at a time.
func (s *Scheduler) underTrial(j *job) bool {
	r := s.risk(j)
	return j.suspected || j.suspectedRuns > 0 || !j.proven && r.exceeds(confinedShare, s.now)
}

// mayStartFirstTask reports whether a submission that awaits its first task may start it
// in view of the crashes of its queue.
func (s *Scheduler) mayStartFirstTask(j *job) bool {
	r := s.risk(j)
	expected := r.down + float64(r.unproven+r.preparing+1)*r.share()
	return !j.hasRuns() && (expected <= float64(s.maxRiskyHosts(r)) || r.unproven+r.preparing == 0)
}

// awaitsFirstTask reports whether the other tasks of a submission wait, since tasks
// of its queue have crashed their hosts of late and none of its own has run for long
// enough yet.
func (s *Scheduler) awaitsFirstTask(j *job) bool {
	if j.proven || !s.risk(j).exceeds(riskyShare, s.now) {
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
