package schedule

import "time"

const (
	// failureThreshold is how many runs in a row fail on a host before it is
	// avoided: single failures are mostly caused by the task.
	failureThreshold = 2
	// initialAvoidDuration is how long a failing host gets no work at first. The
	// duration doubles up to maxAvoidDuration.
	initialAvoidDuration = 2 * time.Second
	maxAvoidDuration     = 16 * time.Second
	// slownessPastWeight is the weight of past runs in the moving average of a
	// host's slowness.
	slownessPastWeight = 0.8
)

// failureStreak is a series of failed runs of a submission without one that ended as done.
type failureStreak struct {
	submission string
	number     int
}

// health is the health of a host, derived from the outcomes of its runs.
type health struct {
	failures int
	// failedBy is the series to which the last failed run belongs that counted.
	failedBy      failureStreak
	avoidUntil    time.Duration
	avoidDuration time.Duration
	// slowness is how many times as long runs take as on a normal host, derived from speed
	// while run times are learned, and from the estimates otherwise;
	// 1 for a new host.
	slowness float64
	// speed is what slowness is derived from while run times are learned.
	speed hostSpeed
}

func (h *health) avoided(now time.Duration) bool { return now < h.avoidUntil }

// avoid excludes the host from new work for the duration d.
func (h *health) avoid(now, d time.Duration) { h.avoidUntil = max(h.avoidUntil, now+d) }

// recordFailedRun counts a failed run of a job against its host, unless the job is the more
// likely cause: since a run of it ended as done it has failed on another host, or on this
// one already.
func (s *Scheduler) recordFailedRun(j *job, h *host) {
	elsewhere := j.failedOn != "" && j.failedOn != h.spec.ID
	j.failedOn = h.spec.ID
	streak := failureStreak{j.sub.ID, j.doneRuns}
	if elsewhere || h.health.failedBy == streak {
		return
	}
	h.health.failedBy = streak
	h.health.recordFailure(s.now)
}

// recordFailure counts a failed run.
func (h *health) recordFailure(now time.Duration) {
	h.failures++
	if h.failures >= failureThreshold {
		h.avoidDuration = min(max(2*h.avoidDuration, initialAvoidDuration), maxAvoidDuration)
		h.avoid(now, h.avoidDuration)
		// One more failure after the avoid duration is enough to avoid the host again.
		h.failures = failureThreshold - 1
	}
}

// recordSuccess resets the failures and adds the ratio of a run's duration to
// its estimate to the slowness.
func (h *health) recordSuccess(took, estimate time.Duration) {
	h.resetFailures()
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), 0.2), 8)
	h.slowness = slownessPastWeight*h.slowness + (1-slownessPastWeight)*ratio
}

func (h *health) resetFailures() { h.failures, h.avoidDuration = 0, 0 }
