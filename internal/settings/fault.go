package settings

import (
	"fmt"
	"strings"
)

// Fault is one reason why settings are rejected. Accepted says what would be
// accepted instead of Value.
type Fault struct {
	File, Field, Value, Accepted string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s = %q, accepted: %s", f.File, f.Field, f.Value, f.Accepted)
}

// Faults is the error that lists every fault of a settings file.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
