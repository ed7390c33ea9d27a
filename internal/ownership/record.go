package ownership

import "time"

// phase is how far this process has come with a shard.
type phase uint8

const (
	// phaseIdle means that the shard is not ours.
	phaseIdle phase = iota
	// phasePending means that our claim took effect and earlier holders may
	// still have authority.
	phasePending
	// phaseHeld means that no earlier holder has authority.
	phaseHeld
	// phaseHandover means that the dispatcher is finishing its commands.
	phaseHandover
	// phaseReleasing means that a release may be in the log.
	phaseReleasing
)

// record is what this process keeps about one shard.
type record struct {
	phase phase
	token uint64
	// acks are the names of the peers that acknowledged token, in order.
	acks []string
	// superseded is true if a peer knows a higher token.
	superseded  bool
	acting      bool
	outageUntil time.Duration
	// established is when phaseHeld was reached.
	established time.Duration
	// claimable is since when the shard could be claimed; free tells if so.
	claimable time.Duration
	free      bool
	// tried is the time of the last claim, release or request for
	// acknowledgements; attempted tells if there was one.
	tried     time.Duration
	attempted bool
	successor string
}

func (r *record) due(now time.Duration) bool {
	if r.attempted && now-r.tried < retryInterval {
		return false
	}
	r.tried, r.attempted = now, true
	return true
}
