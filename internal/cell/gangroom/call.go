package gangroom

import "time"

const (
	// slackDivisor limits the time that the further hosts add to a call to one part in
	// slackDivisor of the time that the gang can wait without missing its objective.
	slackDivisor = 2
	// spareRoom is how many times the gang has to fit into the room of the hosts that are
	// expected to be approved, since others compete for the same hosts.
	spareRoom = 4
)

// Call describes an advice call about hosts for a gang.
type Call struct {
	// Members is the number of members to place, and Fits how many of them fit on each host
	// now, in the order in which the hosts would be named.
	Members int
	Fits    []int
	// ApprovalShare is the share of the hosts that is expected to be approved.
	ApprovalShare float64
	// PerHost is the time that each host adds to the call.
	PerHost time.Duration
	// Slack is how long the gang can wait and still be of use.
	Slack time.Duration
	// Least and Most bound the number of hosts.
	Least, Most int
}

// Hosts returns about how many of the first hosts the service is asked: as many as are
// expected to hold the gang now with room to spare, or, if they do not, as many as the slack
// of the gang allows.
func (c Call) Hosts() int {
	most := min(c.Most, len(c.Fits))
	if c.PerHost > 0 {
		most = min(most, max(c.Least, int(max(c.Slack, 0)/slackDivisor/c.PerHost)))
	}
	needed := float64(spareRoom * c.Members)
	room := 0.0
	for i, n := range c.Fits[:most] {
		room += c.ApprovalShare * float64(n)
		if i+1 >= c.Least && room >= needed {
			return i + 1
		}
	}
	return most
}
