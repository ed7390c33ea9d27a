package requests

import "github.com/medlarpulley/medlarpulley/internal/router"

// waiter is a request in the queue of an upstream.
type waiter struct {
	ticket  router.Ticket
	id      string
	exclude []string
	// ready gets the slot, or nil if the request was shed.
	ready chan *slot
}
