package schedule

// waitReason is why a gang, or a group whose team is at its limit, has not
// started. waitNone means that no reason is recorded: tasks may also wait for
// hosts or tickets then.
type waitReason uint8

const (
	waitNone waitReason = iota
	// waitLimit means that the team's usage has reached its limit.
	waitLimit
	// waitAdvice means that the advice service has approved no host yet.
	waitAdvice
	// waitTickets means that the chosen hosts need new tickets.
	waitTickets
	// waitOtherGangs means that capacity is reserved for other gangs first.
	waitOtherGangs
	// waitRoom means that the hosts that the group may use have too little
	// free capacity.
	waitRoom
	// waitCapacity means that the hosts that the group may use could not hold it
	// even when empty.
	waitCapacity
	// waitPreviousRuns means that runs of the gang's previous start are not gone
	// yet.
	waitPreviousRuns
	// waitTrial means that the submission is suspected of crashing hosts, and that no
	// host is free for its trial or an earlier run has to end first.
	waitTrial
	// waitFirstTask means that tasks of the queue have crashed hosts, and that the
	// submission's first task has not run for long enough yet.
	waitFirstTask
	// waitShare means that the team has its share of the cell, or that the result is of no
	// use any more, and that in-time work waits for the room.
	waitShare
)

var waitTexts = [...]string{
	"starts", "waits for room under the limit of its team", "waits for advice", "waits for new tickets",
	"waits behind gangs that come first", "waits for room on hosts", "waits for hosts that can hold it",
	"waits for runs of its former start to end", "waits to be tried alone on a host, since a host crashed under it",
	"waits until its first task has run for a while, since others of its queue crashed hosts",
	"waits for in-time work that comes first, since its team has its share or its result comes too late",
}

// String returns the reason as text for operators.
func (w waitReason) String() string { return waitTexts[w] }

// setWaitReason records why a group does not start. It adds a note for the log
// when the reason changes to another one than waitNone.
func (s *Scheduler) setWaitReason(g *group, w waitReason) {
	if g.waitReason == w {
		return
	}
	g.waitReason = w
	if w != waitNone {
		s.logMessage(g.id.Submission, "", "Step "+g.id.String()+" "+w.String()+".")
	}
}
