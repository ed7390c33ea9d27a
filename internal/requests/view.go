package requests

import "time"

// View is what a node has read about the members from the log.
type View struct {
	Self        string
	Incarnation uint64
	// Live are the live members in a fixed order, with Self.
	Live []string
	// Voters are all members of the last ten minutes, with Self.
	Voters []string
	// Configured is the configured number of entry nodes.
	Configured int
	// Offset is the log offset of the last change of members.
	Offset uint64
	// Founder is true if the Join of this incarnation is among the first ones.
	Founder bool
	// Started is the clock value at which the process started.
	Started time.Duration
}
