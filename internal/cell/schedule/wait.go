package schedule

// wait tells why tasks of a group have not started.
type wait uint8

const (
	waitNone wait = iota
	// waitLimit: the team has as much running as its limit allows.
	waitLimit
	// waitAdvice: the advice service has not answered yet.
	waitAdvice
	// waitTickets: chosen hosts need new tickets.
	waitTickets
	// waitBehind: room is gathered for other gangs first.
	waitBehind
	// waitRoom: hosts that the group may use have no room.
	waitRoom
	// waitHosts: the hosts that the group may use could not hold it when empty.
	waitHosts
	// waitMembers: runs of the gang's former start are not gone yet.
	waitMembers
)

var waitTexts = [...]string{
	"starts", "waits for room under the limit of its team", "waits for advice", "waits for new tickets",
	"waits behind gangs that come first", "waits for room on hosts", "waits for hosts that can hold it",
	"waits for runs of its former start to end",
}

// String returns the reason for people.
func (w wait) String() string { return waitTexts[w] }

// waits notes why a group does not start. A reason is noted when it changes.
func (s *Scheduler) waits(g *group, w wait) {
	if g.wait == w {
		return
	}
	g.wait = w
	if w != waitNone {
		s.note(g.id.Submission, "", "Step "+g.id.String()+" "+w.String()+".")
	}
}
