package requests

import "time"

// View is the membership of the entry nodes as this node has read it from the log.
type View struct {
	Self        string
	Incarnation uint64
	// Members are the names of the current members in a fixed order, including
	// Self.
	Members []string
	// Voters are the names of all members of the last ten minutes, including Self.
	Voters []string
	// Configured is the configured number of entry nodes.
	Configured int
	// Offset is the log offset of the last membership change.
	Offset uint64
	// InitialMember is true if the Join of this incarnation is among the first
	// ones in the log.
	InitialMember bool
	// Started is the reading of the Clock when the process started.
	Started time.Duration
}
