package router

import "time"

// movingMeanDivisor is the inverse of the weight of a new sample in a moving
// mean.
const movingMeanDivisor = 8

// runnerState is what a node knows about one runner.
type runnerState struct {
	Runner
	leaving bool
	// reported is what the runner reported about itself to this node or to its
	// lease manager; leaving is what the platform's list says.
	reported leavingState
	// unconfirmedLeaving is true if the runner told this node that it is leaving
	// and the lease manager has not yet confirmed that it knows. leavingSequence
	// is the sequence of the newest demand that reported it.
	unconfirmedLeaving bool
	leavingSequence    uint64
	// lastAnswerAt is the time of the runner's last answer to a request.
	lastAnswerAt time.Duration
	// delisted is true if the runner is not on the platform's list. It stays in
	// the table until its requests have ended, so that its slots do not become
	// free if the list omits it for a while.
	delisted    bool
	leased      int
	leaseEndsAt time.Duration
	// lastSequence is the sequence of the newest demand to the lease manager.
	lastSequence  uint64
	inFlight      map[uint64]string
	unknown       map[uint64]unknownSlot
	latency       time.Duration
	failures      int
	ejected       bool
	retryAt       time.Duration
	trialInFlight bool
	trialAttempt  uint64
	peakInUse     int
}

// unknownSlot is a slot whose request has an unknown result and may still be
// running.
type unknownSlot struct {
	id        string
	since     time.Duration
	expiresAt time.Duration
}

func (r *runnerState) inUse() int { return len(r.inFlight) + len(r.unknown) }

func (r *runnerState) freeSlots(now time.Duration) int {
	if now >= r.leaseEndsAt {
		return 0
	}
	return r.leased - r.inUse()
}

func (r *runnerState) isLeaving() bool { return r.leaving || r.reported.leaving || r.delisted }

// eligible reports whether the runner may get a new request now.
func (r *runnerState) eligible(now time.Duration) bool {
	if r.isLeaving() || r.freeSlots(now) <= 0 {
		return false
	}
	return !r.ejected || (now >= r.retryAt && !r.trialInFlight)
}

// addLatencySample adds the time of an answer to the moving mean. The caller must
// not pass the plain time of an error, since a runner that fails fast would then
// have the lowest latency.
func (r *runnerState) addLatencySample(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += (took - r.latency) / movingMeanDivisor
}

// cost returns the expected time to serve a new request after those in flight,
// multiplied with every consecutive failure. The runner with the lowest cost is
// preferred.
func (r *runnerState) cost(defaultLatency time.Duration) time.Duration {
	latency := r.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return latency * time.Duration(1+r.inUse()) * time.Duration(1+r.failures)
}
