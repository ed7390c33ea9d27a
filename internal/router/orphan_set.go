package router

import "time"

// orphanSet shrinks with every status to the requests that were in flight at
// the first one, so requests that others start later don't count.
type orphanSet struct {
	known bool
	ids   map[string]bool
}

func (o *orphanSet) update(listed []string) int {
	if !o.known {
		o.known = true
		o.ids = make(map[string]bool, len(listed))
		for _, id := range listed {
			o.ids[id] = true
		}
		return len(listed)
	}
	kept := make(map[string]bool, len(o.ids))
	for _, id := range listed {
		if o.ids[id] {
			kept[id] = true
		}
	}
	o.ids = kept
	return len(kept)
}

// runnerLending is the lending state of one runner.
type runnerLending struct {
	slots   int
	lendAt  time.Duration
	clearAt time.Duration
	// inherited counts requests started under the leases of an earlier keeper.
	inherited int
	orphans   orphanSet
	entries   map[borrower]*lendingEntry
	said      leavingState
	// asked is the time of the newest status asked for.
	asked time.Duration
}
