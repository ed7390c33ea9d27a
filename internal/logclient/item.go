package logclient

import (
	"time"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// item is a record whose fate is open.
type item struct {
	record   *ledgerv1.Record
	size     int
	priority Priority
	due      time.Time
	// sent is true while the record is in a batch.
	sent bool
	// abandoned is true if nobody waits for the record any more.
	abandoned bool
	// done has room for the one result.
	done chan result
}

// result is the end of an item.
type result struct {
	receipt Receipt
	err     error
}
