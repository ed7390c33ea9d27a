package work

import "github.com/rotisserie/eris"

// Kind selects the placement policy of a job.
type Kind uint8

const (
	// Batch tasks run once each, to completion, and are packed onto hosts.
	Batch Kind = iota
	// Service tasks are long-running replicas. They are spread over failure domains
	// and replaced when they end.
	Service
	// Gang tasks are started all at once or not at all.
	Gang
)

var kindNames = [...]string{Batch: "batch", Service: "service", Gang: "gang"}

// String returns the wire form of k.
func (k Kind) String() string { return nameOf(kindNames[:], int(k)) }

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(b []byte) error {
	i, err := indexOf(kindNames[:], string(b))
	*k = Kind(i)
	return err
}

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "invalid"
}

func indexOf(names []string, s string) (int, error) {
	for i, name := range names {
		if name == s {
			return i, nil
		}
	}
	return 0, eris.Errorf("unknown value %q, want one of %q", s, names)
}
