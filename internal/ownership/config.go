package ownership

import "time"

// Config describes this process to its Manager.
type Config struct {
	Self Identity
	Zone string
	// Nodes is the configured number of entry nodes.
	Nodes int
	// Started is the clock value at the start of the process.
	Started time.Duration
}

// Quorum returns the number of members, out of a set, that must confirm an
// outage: a majority of the larger of the set and the configured number, and
// at least 2 unless one node is configured.
func Quorum(configured, set int) int {
	n := max(configured, set)
	if configured == 1 && n == 1 {
		return 1
	}
	return max(n/2+1, 2)
}

// acksPreventQuorum reports whether acknowledgements from acks members of a set
// leave fewer than a quorum of members that can still confirm an outage, the
// earlier holder included. No node outside the set confirms, so a set smaller
// than the quorum needs no acknowledgement.
func acksPreventQuorum(configured, set, acks int) bool {
	return set-acks < Quorum(configured, set)
}
