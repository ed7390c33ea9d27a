package cell

import "time"

// Machine is a machine of the pools, of which a host is one life.
type Machine struct {
	Name, Pool string
	Up         bool
	InUpkeep   bool
	// Host is the ID of the host that lives on the machine.
	Host string
}

// Wave asks for the upkeep of some machines.
type Wave struct {
	Number   int
	Machines []string
	// Within is the time in which all of it is to be done.
	Within time.Duration
	// AtOnce bounds the machines that are down for it at one time.
	AtOnce int
}
