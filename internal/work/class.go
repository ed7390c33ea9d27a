package work

// Class is the urgency of work.
type Class uint8

const (
	// Normal is the default class.
	Normal Class = iota
	// Urgent work may preempt other work and starts within 8.2 s.
	Urgent
	// Background work runs on capacity that no other class needs.
	Background
)

var classNames = [...]string{Normal: "normal", Urgent: "urgent", Background: "background"}

// String returns the wire form of c.
func (c Class) String() string { return nameOf(classNames[:], int(c)) }

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(b []byte) error {
	i, err := indexOf(classNames[:], string(b))
	*c = Class(i)
	return err
}
