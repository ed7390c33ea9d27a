package schedule

import "time"

const (
	// uselessWorkPart is the part of its expected duration that work takes at least: estimates
	// are off by up to 90 %.
	uselessWorkPart = 0.5
	// uselessHoldBack is how long after its result was last of use work is kept from the room of
	// other work. After that it only comes last, so that it ends.
	uselessHoldBack = 30 * time.Second
)

// isUseless reports whether a job whose remaining work is expected to take a time ends later
// than its result is of use, even if it starts now and is fast.
func (s *Scheduler) isUseless(j *job, work time.Duration) bool {
	latest := j.usefulUntil()
	return s.now+time.Duration(uselessWorkPart*float64(work)) > latest && s.now < latest+uselessHoldBack
}
