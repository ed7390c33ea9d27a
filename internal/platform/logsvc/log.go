// Package logsvc is the interface to the platform's append-only log service
// and its HTTP adapter. It carries opaque payloads and interprets none.
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

// Page is the answer to a read.
type Page struct {
	// Records are in offset order and start at the requested offset, unless
	// retention has dropped it.
	Records []Record
	// Oldest is the smallest offset that the log still keeps.
	Oldest uint64
	// End is the offset that the next append will get.
	End uint64
}

// Log is an append-only log with offsets. All methods are safe for concurrent use.
type Log interface {
	// Append adds one record and returns its offset. After an error the
	// record may be in the log or not, unless the error is ErrNotAppended.
	Append(ctx context.Context, payload []byte) (offset uint64, err error)
	// Read returns records from an offset on. If there are none, it waits
	// until ctx ends or a short server-side time passes, and returns an empty page.
	// With ErrTrimmed, Oldest and End of the page are valid.
	Read(ctx context.Context, from uint64, maxRecords int) (Page, error)
}

// ErrNotAppended means that the log refused the append; the record is not in it.
var ErrNotAppended = eris.New("log refused the append")

// ErrTrimmed means that the requested offset is older than the retention.
var ErrTrimmed = eris.New("offset is older than the retention of the log")
