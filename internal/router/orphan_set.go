package router

import "time"

// orphanSet is the set of requests that may remain of an expired lease: those in
// flight at the first status after it, less those that a later status no longer
// lists. Requests that others start later are not counted.
type orphanSet struct {
	initialized bool
	inFlight    map[string]bool
}

// update applies the list of a status and returns the size of the set.
func (o *orphanSet) update(listed []string) int {
	if !o.initialized {
		o.initialized = true
		o.inFlight = make(map[string]bool, len(listed))
		for _, id := range listed {
			o.inFlight[id] = true
		}
		return len(listed)
	}
	kept := make(map[string]bool, len(o.inFlight))
	for _, id := range listed {
		if o.inFlight[id] {
			kept[id] = true
		}
	}
	o.inFlight = kept
	return len(kept)
}

// runnerLeases holds the slot leases of one runner.
type runnerLeases struct {
	slots int
	// grantFrom is the time by which all leases of earlier lease managers have
	// ended, inheritedUntil that by which the requests under them have ended.
	grantFrom      time.Duration
	inheritedUntil time.Duration
	// inherited is the number of slots counted for requests that were started
	// under the leases of an earlier lease manager.
	inherited int
	orphans   orphanSet
	entries   map[leaseHolder]*leaseEntry
	reported  leavingState
	// statusAskedAt is the send time of the newest status call.
	statusAskedAt time.Duration
}
