package logclient

import (
	"math"
	"time"
)

// Never is the duration since an event that has not happened yet.
const Never time.Duration = math.MaxInt64

// Contact is the state of the connection to the log.
type Contact struct {
	// SinceAppend is the time since the log last confirmed an append, or Never.
	SinceAppend time.Duration `json:"since_append_nanos"`
	// SinceRead is the time since the log last answered a read, or Never. An
	// answer that the requested offset is trimmed counts.
	SinceRead time.Duration `json:"since_read_nanos"`
	// ReachedEnd is true if the replica was at the end of the log after the last
	// page that was applied. It stays true while reads fail.
	ReachedEnd bool `json:"reached_end"`
	// Pending is the number of submitted records that have no result yet.
	Pending int `json:"pending"`
	// Replaced is true if a newer incarnation of the node writes to the log.
	// Records of this incarnation then no longer have any effect.
	Replaced bool `json:"replaced"`
}
