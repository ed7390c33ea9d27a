package logclient

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
)

// Receipt describes the effect of a record that the replica of this node has
// applied.
type Receipt struct {
	// Offset is the offset in the log of the batch that contains the record.
	Offset uint64
	// SentAt is the monotonic time just before the first attempt to append the
	// batch. The batch cannot be in the log earlier, so the period that a renewal
	// extends must be counted from this time.
	SentAt time.Time
	// Events are the events of the record. If there are none, the record changed
	// nothing.
	Events []ledger.Event
}
