package schedule

import "math"

// speedBucket rounds the slowness of a host for gangs, so that measurement errors do not make
// a difference between hosts of equal speed. That of a host of normal speed is 0.
func speedBucket(h *host) int { return int(math.Round((h.health.slowness - 1) / slownessBucket)) }

// slownessScore rates the slowness of a host for a gang; lower is better.
func (s *Scheduler) slownessScore(h *host) int {
	if s.learning != nil {
		return speedBucket(h)
	}
	return int(max(h.health.slowness-1, 0) / slownessBucket)
}

// preferEqualSpeed changes the scores of hosts, sorted by them, on which n tasks of a gang are
// to start. The slowest host decides when the gang ends, so that faster ones are of no use to
// it beyond that speed: slower hosts come first among those that are fast enough, and the
// faster ones stay free for others. It reports whether the scores have changed.
func (s *Scheduler) preferEqualSpeed(options []gangOption, n int) (changed bool) {
	if s.learning == nil {
		return false
	}
	slowest := math.MinInt
	for _, o := range options {
		if n <= 0 {
			break
		}
		if n -= o.tasksThatFit; o.tasksThatFit > 0 {
			slowest = max(slowest, speedBucket(o.host))
		}
	}
	for i := range options {
		if b := speedBucket(options[i].host); b < slowest {
			options[i].score += slowest - b
			options[i].faster = slowest - b
			changed = true
		}
	}
	return changed
}
