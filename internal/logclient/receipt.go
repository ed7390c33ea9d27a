package logclient

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
)

// Receipt tells what became of a record that the replica of this node has
// applied.
type Receipt struct {
	// Offset is the offset of the batch.
	Offset uint64
	// SentAt is a monotonic time before the first attempt to append the batch.
	// A batch is appended at the earliest then, so authority that a renewal
	// extends is counted from here.
	SentAt time.Time
	// Events are the events of the record; an empty list means that it
	// changed nothing.
	Events []ledger.Event
}
