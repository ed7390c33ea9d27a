package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
)

// slot is a slot of a runner that one attempt holds.
type slot struct {
	up     *upstream
	ticket router.Ticket
	pick   router.Pick
	taken  time.Duration
	// answered is when the head of an answer came that does not say that the
	// runner leaves, or zero.
	answered time.Duration
}

// done gives the slot back.
func (s *slot) done(now time.Duration, result router.Result) {
	s.up.done(now, s, result)
}
