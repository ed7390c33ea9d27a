package logclient

import (
	"time"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// item is a submitted record that has no result yet.
type item struct {
	record   *ledgerv1.Record
	size     int
	priority Priority
	dueAt    time.Time
	// inBatch is true while the record is in a batch.
	inBatch bool
	// abandoned is true if the caller no longer waits for the result.
	abandoned bool
	// done receives the result. It is buffered, so that sending never blocks.
	done chan result
}

// result is what Submit returns for an item.
type result struct {
	receipt Receipt
	err     error
}
