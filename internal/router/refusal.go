package router

import "time"

// Refusal tells why a request was not admitted.
type Refusal struct {
	Code string
	// RetryAfter is when a slot is expected to be free; zero if unknown.
	RetryAfter time.Duration
}

// Codes of refusals.
const (
	CodeQueueFull = "queue-full"
	CodeDeadline  = "deadline-unreachable"
	CodeTeams     = "too-many-teams"
)
