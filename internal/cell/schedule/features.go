package schedule

// Features switch decisions on that are not part of the basic placement.
type Features struct {
	// LearnRunTimes derives the expected duration of runs from those that have ended.
	LearnRunTimes bool
	// GangCapacity names more hosts, and those with room soonest, in advice calls for gangs, and
	// places single tasks where they displace few gang members.
	GangCapacity bool
	// FairShares orders work by the shares of the teams while the cell is full.
	FairShares bool
	// Admission keeps work that can no longer be of use from taking the room of other work.
	Admission bool
}
