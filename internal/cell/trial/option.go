package trial

import (
	"cmp"
	"slices"
	"time"
)

// Option is a host that a trial may take.
type Option[H any] struct {
	Host H
	Rack string
	// At is when it has room, and Room for how many tasks it has then.
	At   time.Duration
	Room int
	// Runs is the number of runs on it, which a crash would end.
	Runs int
	// GivenBack is set if the work was given the host before and did not use it, Ticket if it
	// has a valid ticket for it.
	GivenBack, Ticket bool
}

// Pick returns hosts that have room for n tasks, at most some of them, or nil if they have not.
// If racks are preferred, they are chosen in the first of them that has room.
func Pick[H any](options []Option[H], n, most int, gang bool, racks []string) []Option[H] {
	rank(options, gang)
	for _, rack := range racks {
		inRack := slices.DeleteFunc(slices.Clone(options), func(o Option[H]) bool { return o.Rack != rack })
		if chosen := firstWithRoom(inRack, n, most); chosen != nil {
			return chosen
		}
	}
	return firstWithRoom(options, n, most)
}

// rank sorts hosts for a trial: those that were given back come last, then a gang takes as few
// hosts as possible. Hosts with few runs, which a crash would end, come before others, and
// those with valid tickets.
func rank[H any](options []Option[H], gang bool) {
	slices.SortStableFunc(options, func(a, b Option[H]) int {
		if c := compareBool(a.GivenBack, b.GivenBack); c != 0 {
			return c
		}
		if c := cmp.Compare(b.Room, a.Room); c != 0 && gang {
			return c
		}
		if c := cmp.Compare(a.Runs, b.Runs); c != 0 {
			return c
		}
		return compareBool(b.Ticket, a.Ticket)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// firstWithRoom returns the first hosts that have room for n tasks, or nil if more than
// most hosts were needed.
func firstWithRoom[H any](options []Option[H], n, most int) []Option[H] {
	for i, o := range options {
		n -= o.Room
		if n <= 0 && i < most {
			return options[:i+1]
		}
	}
	return nil
}

// HostsNeeded returns how many of the hosts with room for some tasks each are needed at least
// for a number of tasks; zero if they cannot hold them at all.
func HostsNeeded(rooms []int, tasks int) (n int) {
	slices.SortFunc(rooms, func(a, b int) int { return cmp.Compare(b, a) })
	for _, room := range rooms {
		if tasks <= 0 {
			break
		}
		tasks -= room
		n++
	}
	if tasks > 0 {
		return 0
	}
	return n
}
