package schedule

import "time"

const (
	// targetMissThreshold is how long the tail latency of a task may exceed its
	// target until the best-effort tasks on its host are stopped.
	targetMissThreshold = 1200 * time.Millisecond
	// bestEffortBlockDuration is how long the host then gets no best-effort
	// tasks.
	bestEffortBlockDuration = 10 * time.Second
	// weightInterference keeps best-effort and latency-sensitive tasks on
	// different hosts as long as other hosts have free capacity.
	weightInterference = 4.0
)

// bestEffortCPU returns the CPU demand, in thousandths of a core, of one task if
// the tasks of the group are best-effort, and zero otherwise.
func (g *group) bestEffortCPU() int64 {
	if g.step.BestEffort {
		return g.step.Size.MilliCPU
	}
	return 0
}

// unusedCPU returns the CPU, in thousandths of a core, that no task on the host
// has reserved and no best-effort task demands.
func (h *host) unusedCPU() int64 { return h.free().MilliCPU - h.bestEffortCPU }

// interferencePenalty returns the score penalty for best-effort and
// latency-sensitive tasks on one host; zero if they would not meet there.
func (g *group) interferencePenalty(h *host) float64 {
	if g.step.LatencyTarget > 0 && h.bestEffortCPU > 0 {
		return weightInterference
	}
	if g.step.BestEffort && h.runsLatencySensitive() {
		return weightInterference
	}
	return 0
}

// runsLatencySensitive reports whether a host has a task with a latency target.
func (h *host) runsLatencySensitive() bool {
	for _, a := range h.runs {
		if a.task.group.step.LatencyTarget > 0 {
			return true
		}
	}
	return false
}

// trackTailLatency records since when the tail latency of a latency-sensitive
// task has exceeded its target.
func (a *taskRun) trackTailLatency(tail, target, now time.Duration) {
	switch {
	case tail <= target:
		a.overTargetSince = 0
	case a.overTargetSince == 0:
		a.overTargetSince = now
	}
}

// stopInterferingTasks stops the best-effort tasks on hosts where a
// latency-sensitive task has exceeded its target for too long. The stopped tasks
// continue on other hosts.
func (s *Scheduler) stopInterferingTasks() {
	for _, h := range s.sortedHosts {
		if h.bestEffortCPU == 0 || !h.missesLatencyTarget(s.now) {
			continue
		}
		h.bestEffortBlockedUntil = s.now + bestEffortBlockDuration
		var bestEffort []*taskRun
		for _, a := range h.runs {
			if a.task.group.step.BestEffort && a.phase == phaseRunning {
				bestEffort = append(bestEffort, a)
			}
		}
		sortRuns(bestEffort)
		for _, a := range bestEffort {
			s.stop(a, "a latency-sensitive task on the host exceeds its target")
		}
	}
}

// missesLatencyTarget reports whether a task on the host has exceeded its latency
// target for longer than targetMissThreshold.
func (h *host) missesLatencyTarget(now time.Duration) bool {
	for _, a := range h.runs {
		if a.overTargetSince != 0 && now-a.overTargetSince > targetMissThreshold {
			return true
		}
	}
	return false
}
