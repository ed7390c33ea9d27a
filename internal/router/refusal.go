package router

import "time"

// Refusal is the reason why a request was not admitted.
type Refusal struct {
	Code string
	// RetryAfter is the expected time until a slot is free; zero if unknown.
	RetryAfter time.Duration
}

// Values of Refusal.Code. They are sent to the caller.
const (
	CodeQueueFull           = "queue-full"
	CodeDeadlineUnreachable = "deadline-unreachable"
	CodeTooManyTeams        = "too-many-teams"
)
