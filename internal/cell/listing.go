package cell

// Outcome is the way in which a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeUnknown means that the host reports an outcome with an unknown name.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeFailed
	// OutcomeStopped means that the run was stopped by an order.
	OutcomeStopped
	// OutcomeLeaseExpired means that the host's lease expired.
	OutcomeLeaseExpired
	// OutcomeMemberEnded means that another member of the gang ended.
	OutcomeMemberEnded
	// OutcomeGangTimeout means that the wait for the other members of the gang
	// timed out.
	OutcomeGangTimeout
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Running is one run that a host reports as present.
type Running struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is the current speed of the run in percent of its full speed.
	Percent int
	// UsageOrLatencyMs is the tail latency in milliseconds of a latency-sensitive
	// task, and the CPU usage of any other task, over the last half second.
	UsageOrLatencyMs int64
}

// Ended is one run that a host reports as ended.
type Ended struct {
	// Number increases with each ended run until the host restarts.
	Number     int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// HostReport is the report of a host about its runs.
type HostReport struct {
	// StartedMs is when the host last started, in Unix milliseconds; zero if unknown.
	StartedMs int64
	// ClockMs is the time of the host's own clock in milliseconds.
	ClockMs int64
	Running []Running
	Ended   []Ended
	// Partial is set if the host has more ended runs than one report holds.
	Partial bool
}
