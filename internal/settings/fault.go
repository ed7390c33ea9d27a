package settings

import (
	"fmt"
	"strings"
)

// Fault is one reason why settings are refused.
type Fault struct {
	File, Field, Value, Accepted string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s = %q, accepted: %s", f.File, f.Field, f.Value, f.Accepted)
}

// Faults lists every fault of a file.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
