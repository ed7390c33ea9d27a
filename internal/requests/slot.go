package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
)

// slot is a runner slot that one attempt has acquired.
type slot struct {
	up         *upstream
	ticket     router.Ticket
	pick       router.Pick
	acquiredAt time.Duration
	// answeredAt is when the headers of a response arrived that does not state
	// that the runner is leaving, or zero.
	answeredAt time.Duration
}

// release returns the slot to its upstream, with the result of the attempt.
func (s *slot) release(now time.Duration, result router.Result) {
	s.up.releaseSlot(now, s, result)
}
