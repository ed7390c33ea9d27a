package schedule

import "math"

// speedBucket rounds the slowness of a host, so that measurement errors do not make
// a difference between hosts of equal speed. That of a host of normal speed is 0.
func speedBucket(h *host) int { return int(math.Round((h.health.slowness - 1) / slownessBucket)) }

// noSlower reports whether a host is no slower than another one.
func (s *Scheduler) noSlower(h, other *host) bool {
	if s.learning != nil {
		return speedBucket(h) <= speedBucket(other)
	}
	return h.health.slowness <= other.health.slowness
}

// slownessPenalty returns by how much a host is slower than normal. While run times are
// learned, hosts of about normal speed count as equal, so that measurement errors do not
// spread small tasks over hosts that large ones could use.
func (s *Scheduler) slownessPenalty(h *host) float64 {
	switch slowness := h.health.slowness; {
	case s.learning == nil:
		return max(slowness-1, 0)
	case slowness < 1+slownessBucket/2:
		return 0
	}
	return slownessBucket * float64(speedBucket(h))
}

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
