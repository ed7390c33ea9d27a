package work

// Outcome is how a task or an attempt ended.
type Outcome uint8

const (
	// Pending means that the task has not ended, as far as is known.
	Pending Outcome = iota
	// Succeeded means that the task ran to completion.
	Succeeded
	// Failed means that the task ran and ended with an error.
	Failed
	// Cancelled means that the task was cancelled before it started.
	Cancelled
	// Stopped means that the task had started and was stopped.
	Stopped
	// Lost means that the task may have run and that its result is unknown.
	Lost
	// Infeasible means that the task can never fit on any host.
	Infeasible
)

var outcomeNames = [...]string{
	Pending: "pending", Succeeded: "succeeded", Failed: "failed", Cancelled: "cancelled",
	Stopped: "stopped", Lost: "lost", Infeasible: "infeasible",
}

// String returns the wire form of o.
func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(b []byte) error {
	i, err := indexOf(outcomeNames[:], string(b))
	*o = Outcome(i)
	return err
}
