package router

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Ticket is one request in the queue of Admission.
type Ticket struct {
	ID    uint64
	Team  string
	Class work.Class
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Duration
	// Weight is the team's weight relative to the other teams; at least 1.
	Weight int64
	// Limit is the maximum number of requests that the team may have in flight on
	// this node; zero for no limit.
	Limit int
}
