package router

import "time"

// latencyWeight is the part of a new sample in the moving mean, as 1/n.
const latencyWeight = 8

// runnerState is what a node knows about one runner.
type runnerState struct {
	Runner
	leaving bool
	// said is what the runner said about itself, to this node or its keeper.
	said leavingState
	// news is true if the runner told this node that it leaves and the keeper
	// has not yet confirmed to know; told is the request that carried it.
	news bool
	told uint64
	// heard is the time of the runner's last answer to a request.
	heard time.Duration
	// gone is true once the runner is off the list. It stays in the table until
	// its requests have ended, so that a list that forgets it for a while does
	// not make its slots free.
	gone  bool
	held  int
	until time.Duration
	// epoch is the sequence of the newest request to the keeper.
	epoch    uint64
	inFlight map[uint64]string
	unknown  map[uint64]unknownSlot
	latency  time.Duration
	failures int
	ejected  bool
	retryAt  time.Duration
	probing  bool
	probe    uint64
	peak     int
}

// unknownSlot is a slot whose request may still be running.
type unknownSlot struct {
	id    string
	since time.Duration
	until time.Duration
}

func (r *runnerState) inUse() int { return len(r.inFlight) + len(r.unknown) }

func (r *runnerState) usable(now time.Duration) int {
	if now >= r.until {
		return 0
	}
	return r.held - r.inUse()
}

func (r *runnerState) departing() bool { return r.leaving || r.said.leaving || r.gone }

// eligible is false for a runner that gets no new request now.
func (r *runnerState) eligible(now time.Duration) bool {
	if r.departing() || r.usable(now) <= 0 {
		return false
	}
	return !r.ejected || (now >= r.retryAt && !r.probing)
}

// sample adds the time of an answer. Errors are never sampled as they are,
// since a runner that fails fast would then look like the best one.
func (r *runnerState) sample(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += (took - r.latency) / latencyWeight
}

// cost orders runners: expected time of the work already there and this one.
func (r *runnerState) cost(typical time.Duration) time.Duration {
	latency := r.latency
	if latency == 0 {
		latency = typical
	}
	return latency * time.Duration(1+r.inUse()) * time.Duration(1+r.failures)
}
