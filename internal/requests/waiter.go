package requests

import "github.com/medlarpulley/medlarpulley/internal/router"

// waiter is a request that waits in the queue of an upstream.
type waiter struct {
	ticket    router.Ticket
	requestID string
	exclude   []string
	// ready receives the slot, or nil if the request was dropped because
	// its deadline can no longer be met.
	ready chan *slot
}
