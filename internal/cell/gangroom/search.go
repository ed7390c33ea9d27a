package gangroom

import "time"

const (
	// slackDivisor limits the time that the further hosts add to a call to one part in
	// slackDivisor of the time that the gang can wait without missing its objective.
	slackDivisor = 2
	// spareRoom is how many times the gang has to fit into the room of the hosts that are
	// expected to be approved, since others compete for the same hosts.
	spareRoom = 4
	// enoughRoom is how many times the gang fits on the approved hosts, were these empty, when
	// no further ones are asked about. In a full cell about one member slot in ten is free.
	enoughRoom = 6
	// maxParallelCalls and maxHostsInParallel bound the calls for one gang at one time and the
	// hosts in each of them. Each call has a fixed cost, so that more and shorter calls take
	// the nodes from the gangs behind.
	maxParallelCalls   = 2
	maxHostsInParallel = 75
)

// Search describes the search for hosts for a gang through the advice service.
type Search struct {
	// Members is the number of members to place, and Fits how many of them fit on each host
	// now, in the order in which the hosts would be named.
	Members int
	Fits    []int
	// ApprovalShare is the share of the hosts that is expected to be approved.
	ApprovalShare float64
	// PerHost is the time that each host adds to a call.
	PerHost time.Duration
	// Slack is how long the gang can wait and still be of use.
	Slack time.Duration
	// Least is how many hosts one call names at least, and Most at most.
	Least, Most int
	Nodes       Nodes
}

// Plan returns about how many of the first hosts the service is asked, and in how many calls
// at the same time: about as many as are expected to hold the gang now with room to spare or,
// if they do not, as many as the slack of the gang and the nodes allow.
func (s Search) Plan() (hosts, calls int) {
	calls, perCall := 1, s.Most
	if spare := min(s.Nodes.spare(), maxParallelCalls); spare > 1 {
		calls, perCall = spare, min(maxHostsInParallel, s.Most)
	}
	if s.PerHost > 0 {
		perCall = min(perCall, max(s.Least, int(max(s.Slack, 0)/slackDivisor/s.PerHost)))
	}
	hosts = s.needed(min(calls*perCall, len(s.Fits)))
	calls = min(calls, max((hosts+s.Least-1)/max(s.Least, 1), 1))
	return hosts, calls
}

// needed returns the number of the first hosts that are expected to hold the gang with room to
// spare, at least Least and at most a given number.
func (s Search) needed(most int) int {
	room := 0.0
	for i, n := range s.Fits[:most] {
		room += s.ApprovalShare * float64(n)
		if i+1 >= s.Least && room >= float64(spareRoom*s.Members) {
			return i + 1
		}
	}
	return most
}

// Further reports whether the service is asked about further hosts for a gang that waits for
// room on the approved ones, which would hold a number of its members if they were empty.
func Further(members, approvedRoom int, n Nodes) bool {
	return approvedRoom < enoughRoom*members && n.spare() > 0
}
