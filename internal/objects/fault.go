package objects

import (
	"fmt"
	"strings"
)

// Fault is one reason why a set of objects is rejected.
type Fault struct {
	File   string `json:"file,omitempty"`
	Object string `json:"object"`
	Field  string `json:"field"`
	Value  string `json:"value"`
	// Accepted says what would be accepted instead of Value.
	Accepted string `json:"accepted"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	where := f.Object
	if f.File != "" {
		where = f.File + ": " + f.Object
	}
	return fmt.Sprintf("%s: %s = %q, accepted: %s", where, f.Field, f.Value, f.Accepted)
}

// Faults is the error that lists every fault of a set.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
