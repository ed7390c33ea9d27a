package schedule

import "time"

const (
	// overFor is how long the tail of a task may be over its target before the
	// tasks that fill beside it are stopped.
	overFor = 1200 * time.Millisecond
	// quietFor is how long tasks that fill then stay away from the host.
	quietFor = 10 * time.Second
	// weightSharing keeps tasks that fill and tasks that serve on different hosts
	// while there are others.
	weightSharing = 4.0
)

// filling returns the processor need of one task that uses only what others leave.
func (g *group) filling() int64 {
	if g.step.Fills {
		return g.step.Size.MilliCPU
	}
	return 0
}

// spare returns the processor time that nothing on a host claims or fills.
func (h *host) spare() int64 { return h.free().MilliCPU - h.filling }

// sharing returns how badly a group goes together with what a host has.
func (g *group) sharing(h *host) float64 {
	if g.step.LatencyTarget > 0 && h.filling > 0 {
		return weightSharing
	}
	if g.step.Fills && h.serves() {
		return weightSharing
	}
	return 0
}

// serves reports whether a host has a task with a latency target.
func (h *host) serves() bool {
	for _, a := range h.attempts {
		if a.task.group.step.LatencyTarget > 0 {
			return true
		}
	}
	return false
}

// observeTail follows the tail of a task that serves against its target.
func (a *attempt) observeTail(tail, target, now time.Duration) {
	switch {
	case tail <= target:
		a.overSince = 0
	case a.overSince == 0:
		a.overSince = now
	}
}

// relieve stops the tasks that fill on hosts where a task that serves has been
// over its target for some time. They go on elsewhere.
func (s *Scheduler) relieve() {
	for _, h := range s.order {
		if h.filling == 0 || !h.harmed(s.now) {
			continue
		}
		h.quietUntil = s.now + quietFor
		var fillers []*attempt
		for _, a := range h.attempts {
			if a.task.group.step.Fills && a.phase == phaseRunning {
				fillers = append(fillers, a)
			}
		}
		sortAttempts(fillers)
		for _, a := range fillers {
			s.stop(a, "it disturbs a task that serves")
		}
	}
}

// harmed reports whether a task that serves has been over its target too long.
func (h *host) harmed(now time.Duration) bool {
	for _, a := range h.attempts {
		if a.overSince != 0 && now-a.overSince > overFor {
			return true
		}
	}
	return false
}
