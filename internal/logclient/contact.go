package logclient

import (
	"math"
	"time"
)

// Never is the duration since something that has not happened.
const Never time.Duration = math.MaxInt64

// Contact tells when the log was reached last.
type Contact struct {
	// SinceAppend is the time since the last append that the log confirmed, or Never.
	SinceAppend time.Duration `json:"since_append_nanos"`
	// SinceRead is the time since the log last answered a read, or Never.
	SinceRead time.Duration `json:"since_read_nanos"`
	// ReachedEnd is true if the last page that was applied reached the end of
	// the log. It stays true while reads fail.
	ReachedEnd bool `json:"reached_end"`
	// Pending is the number of records whose fate is open.
	Pending int `json:"pending"`
	// Replaced is true if a newer incarnation of the node uses the log, so
	// that no record of this one has effect.
	Replaced bool `json:"replaced"`
}
