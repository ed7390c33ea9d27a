package scheduler

// countMaybeRunning counts the units of tasks that may have been started before
// and are not bound to a host, so that limits are not exceeded while hosts are
// being adopted.
func (s *Scheduler) countMaybeRunning() {
	if len(s.maybeRunningJobs) == 0 {
		return
	}
	units := map[*limit]int64{}
	kept := s.maybeRunningJobs[:0]
	for _, j := range s.maybeRunningJobs {
		n := j.maybeRunning()
		if n == 0 {
			j.inMaybeRunning = false
			continue
		}
		kept = append(kept, j)
		if j.team.limit != nil {
			units[j.team.limit] += n * j.cost
		}
	}
	clear(s.maybeRunningJobs[len(kept):])
	s.maybeRunningJobs = kept
	for _, l := range s.limits {
		if old := l.maybeRunning; old != units[l] {
			l.maybeRunning = units[l]
			s.resumeAll(l)
		}
	}
}

// maybeRunning returns the number of tasks that may run without being bound to
// a host.
func (j *job) maybeRunning() int64 {
	n := int64(0)
	j.forEachTask(func(_ int32, t *task) {
		if t.state == TaskHeld || (j.mayHaveUnadoptedAttempts && t.state == TaskQueued && t.attempts > 0 && !t.startedHere) {
			n++
		}
	})
	return n
}
