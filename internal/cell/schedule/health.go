package schedule

import "time"

const (
	// failuresTolerated is how many failed ends in a row a host may have before
	// it is avoided: single failures are mostly the fault of the task.
	failuresTolerated = 2
	// avoidFor is how long a failing host gets no work; it doubles up to maxAvoid.
	avoidFor = 2 * time.Second
	maxAvoid = 16 * time.Second
	// slownessMemory is the weight of the past in the estimate of a host's slowness.
	slownessMemory = 0.8
)

// health is what the ends of runs tell about a host.
type health struct {
	failures   int
	avoidUntil time.Duration
	avoidNext  time.Duration
	// slowness is the duration of runs against their estimates, 1 for a new host.
	slowness float64
}

func (h *health) avoided(now time.Duration) bool { return now < h.avoidUntil }

// avoid keeps work away for some time.
func (h *health) avoid(now, d time.Duration) { h.avoidUntil = max(h.avoidUntil, now+d) }

// failed counts a failed end.
func (h *health) failed(now time.Duration) {
	h.failures++
	if h.failures >= failuresTolerated {
		h.avoidNext = min(max(2*h.avoidNext, avoidFor), maxAvoid)
		h.avoid(now, h.avoidNext)
		// One more failure after the pause is enough to avoid the host again.
		h.failures = failuresTolerated - 1
	}
}

// succeeded counts a done end that took some time against an estimate.
func (h *health) succeeded(took, estimate time.Duration) {
	h.failures, h.avoidNext = 0, 0
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), 0.2), 8)
	h.slowness = slownessMemory*h.slowness + (1-slownessMemory)*ratio
}
