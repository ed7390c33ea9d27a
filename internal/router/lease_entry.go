package router

import "time"

// leaseHolder identifies one incarnation of a node that leases slots.
type leaseHolder struct {
	node        string
	incarnation uint64
}

// leaseEntry is the lease of one holder on the slots of one runner.
type leaseEntry struct {
	sequence uint64
	// maxInUse is the largest number of slots that the holder can have in use.
	maxInUse int
	want     int
	// endsAt is the time by which the lease has certainly ended.
	endsAt time.Duration
	// orphans are the requests that were in flight at the first status after
	// endsAt and have not ended since.
	orphans orphanSet
}
