// Package logsvc owns the interface to the platform's append-only log service,
// and the HTTP client for it. Payloads are opaque: the package must never
// interpret them.
package logsvc

import (
	"context"

	"github.com/rotisserie/eris"
)

// Record is one entry of the log.
type Record struct {
	Offset  uint64
	Payload []byte
}

// Page is the result of a read.
type Page struct {
	// Records are in offset order and start at the requested offset. They are
	// empty if retention has deleted that offset.
	Records []Record
	// Oldest is the smallest offset that the log still retains.
	Oldest uint64
	// End is the offset that the next append will get.
	End uint64
}

// Log is an append-only log whose records have offsets. All methods are safe for
// concurrent use.
type Log interface {
	// Append adds one record and returns its offset. After an error the record
	// may or may not be in the log, unless the error is ErrNotAppended.
	Append(ctx context.Context, payload []byte) (offset uint64, err error)
	// Read returns at most maxRecords records, starting at the offset from. If
	// there are none, it waits until a record is appended, ctx ends or the
	// long-poll timeout of the server passes; after the timeout it returns an
	// empty page. If the error is ErrTrimmed, Oldest and End of the page are valid.
	Read(ctx context.Context, from uint64, maxRecords int) (Page, error)
}

// ErrNotAppended means that the log refused the append and does not contain the
// record.
var ErrNotAppended = eris.New("log refused the append")

// ErrTrimmed means that retention has deleted the record at the requested offset.
var ErrTrimmed = eris.New("offset is older than the retention of the log")
