package scheduler

// countDoubt counts the units of tasks that may have been started before and
// are not bound to a host, so that a limit holds while hosts are being adopted.
func (s *Scheduler) countDoubt() {
	if len(s.doubtful) == 0 {
		return
	}
	units := map[*limit]int64{}
	kept := s.doubtful[:0]
	for _, j := range s.doubtful {
		n := j.doubt()
		if n == 0 {
			j.doubtful = false
			continue
		}
		kept = append(kept, j)
		if j.team.limit != nil {
			units[j.team.limit] += n * j.cost
		}
	}
	clear(s.doubtful[len(kept):])
	s.doubtful = kept
	for _, l := range s.limits {
		if old := l.maybe; old != units[l] {
			l.maybe = units[l]
			s.unpark(l)
		}
	}
}

// doubt returns the number of tasks that may run without being bound.
func (j *job) doubt() int64 {
	n := int64(0)
	j.each(func(_ int32, t *task) {
		if t.state == TaskHeld || (j.uncertain && t.state == TaskQueued && t.attempts > 0 && !t.own) {
			n++
		}
	})
	return n
}
