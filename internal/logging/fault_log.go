package logging

import (
	"context"
	"log/slog"
)

// maxLoggedFaults bounds the faults that a FaultLog remembers and logs.
const maxLoggedFaults = 500

// FaultLog logs the faults of objects that are read again and again: each when it appears
// or changes, so that an odd object of another writer does not fill the log. The zero
// value is ready to use. It is not safe for concurrent use.
type FaultLog struct {
	faults map[string]string
	// full is set once further objects are not logged.
	full bool
}

// Fault logs a fault of an object with a message, unless it is known.
func (f *FaultLog) Fault(log *slog.Logger, level slog.Level, message, object string, err error, args ...any) {
	last, known := f.faults[object]
	text := err.Error()
	switch {
	case known && last == text:
		return
	case !known && len(f.faults) >= maxLoggedFaults:
		if !f.full {
			f.full = true
			log.Warn("There are too many faults; no further ones are logged.", "count", len(f.faults))
		}
		return
	case f.faults == nil:
		f.faults = make(map[string]string)
	}
	f.faults[object] = text
	log.Log(context.Background(), level, message, append([]any{"error", err}, args...)...)
}

// Resolved forgets the fault of an object that is in order again.
func (f *FaultLog) Resolved(object string) { delete(f.faults, object) }
