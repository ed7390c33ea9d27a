package worklog

import (
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Page is a sequence of records of a topic, in the order of the log, or of keys if
// NewestOnly is set.
type Page struct {
	Records []platform.Record
	// NewestOnly is set if the records are the newest record of each key and not all
	// records: at the first read, and when records since the last read are no
	// longer stored. A key without a record among them has been deleted since, unless its
	// first record was stored after the read was sent; then it follows with later pages.
	NewestOnly bool
	// AsOf is when the read was sent. Every record stored before that has been read
	// if the page is complete.
	AsOf time.Duration
	// Complete is set if the page reaches the end of the topic.
	Complete bool
	// End is the offset from which the topic is read on. If the page is complete, no record from
	// End on was stored at AsOf. With NewestOnly, every record before it is among the records, or
	// has been replaced by one of them or deleted; some of the records may have offsets from End
	// on, and are read again.
	End uint64
}

// ForEach calls ApplyRecord for each record.
func (p Page) ForEach(log *slog.Logger, apply func(r platform.Record)) {
	for _, r := range p.Records {
		ApplyRecord(log, r, apply)
	}
}

// ApplyRecord calls apply for a record. If apply panics, the record is logged and left
// out, so that it holds up neither the others nor the process. apply must not leave a
// state that is changed in part.
func ApplyRecord(log *slog.Logger, r platform.Record, apply func(r platform.Record)) {
	defer func() {
		if v := recover(); v != nil {
			log.Error("A record cannot be applied and is left out.", "key", r.Key, "offset", r.Offset, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	apply(r)
}
