package cell

// Outcome tells how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeUnknown is an outcome that the host reports in an unknown word.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeFailed
	// OutcomeStopped follows an order to stop.
	OutcomeStopped
	// OutcomeLapsed follows the end of the host's lease.
	OutcomeLapsed
	// OutcomeBroken follows the end of another member of the gang.
	OutcomeBroken
	// OutcomeAlone follows a wait for the other members of the gang.
	OutcomeAlone
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Running is one run that a host lists as present.
type Running struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	// Percent is how much of full speed the run works at.
	Percent int
	// Usage is the tail latency in milliseconds of a task that serves, and the
	// processor use of any other task, over the last half second.
	Usage int64
}

// Ended is one run that a host lists as ended.
type Ended struct {
	// Number rises within one life of the host.
	Number     int64
	Task       TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Listing is everything that a host reports about its runs.
type Listing struct {
	// Born is the start of the host's life in Unix milliseconds; zero if not told.
	Born int64
	// ClockMs is the host's own clock.
	ClockMs int64
	Running []Running
	Ended   []Ended
	// Partial is set if more ended runs wait than one report holds.
	Partial bool
}
