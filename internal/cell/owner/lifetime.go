package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// lifetime is what the owner knows of one lifetime of a host's process. A host that
// restarts under its ID numbers its results and counts its clock anew, so that nothing
// here holds for another lifetime.
type lifetime struct {
	// startedMs is when the lifetime began, in Unix milliseconds.
	startedMs int64
	// heardAsRestart is set if the owner had known a former lifetime of the host, so that no
	// earlier owner has acknowledged results of this one.
	heardAsRestart bool
	lease          lease
	// seenResult, storedResult and ackedResult are the highest numbers of results that the
	// host has reported, that are stored, and that the host knows to be stored.
	seenResult, storedResult, ackedResult int64
	// firstToken is the fencing token of the first poll that it answered.
	firstToken int64
}

// bind makes a poll one for this lifetime only: it acknowledges results and renews the
// lease, and reaches no later lifetime.
func (l *lifetime) bind(o *platform.Poll, now time.Duration) {
	o.SameProcess = true
	if l.storedResult > l.ackedResult {
		o.Ack = l.storedResult
	}
	o.LeaseEndMs = l.lease.grant(now).Milliseconds()
	o.Wait = pollHoldTimeout
}
