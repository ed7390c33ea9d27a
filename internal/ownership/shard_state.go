package ownership

import "time"

// phase is the state of a shard in this process.
type phase uint8

const (
	// phaseIdle means that this process does not own the shard.
	phaseIdle phase = iota
	// phasePending means that the claim of this process took effect, but
	// earlier holders may still have authority.
	phasePending
	// phaseHeld means that this process owns the shard and no earlier holder
	// has authority.
	phaseHeld
	// phaseQuiescing means that the shard is to be transferred and that the
	// dispatcher is completing its outstanding commands.
	phaseQuiescing
	// phaseReleasing means that a release is being appended and may already
	// be in the log.
	phaseReleasing
)

// shardState is the state that this process keeps for one shard.
type shardState struct {
	phase phase
	token uint64
	// acks are the names of the peers that acknowledged token, sorted.
	acks []string
	// superseded is true if a peer knows a higher token.
	superseded bool
	// started is set between StartShard and StopShard.
	started     bool
	outageUntil time.Duration
	// heldSince is when phaseHeld was reached.
	heldSince time.Duration
	// transferAfter is the earliest time of the next transfer, unless this node
	// leaves. It is set if the dispatcher could not be quiesced.
	transferAfter time.Duration
	// claimableSince is the time from which the shard could be claimed; it is
	// valid if claimable is true.
	claimableSince time.Duration
	claimable      bool
	// lastAttempt is the time of the last claim, release or request for
	// acknowledgements; it is valid if attempted is true.
	lastAttempt time.Duration
	attempted   bool
	successor   string
}

// startAttemptIfDue reports whether retryInterval has passed since the last
// attempt, and if so records a new attempt at now.
func (r *shardState) startAttemptIfDue(now time.Duration) bool {
	if r.attempted && now-r.lastAttempt < retryInterval {
		return false
	}
	r.lastAttempt, r.attempted = now, true
	return true
}
