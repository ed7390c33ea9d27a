package worker

import "time"

// Faults are the faults that an agent simulates. The zero value means none.
type Faults struct {
	// FailAll makes every task fail failureDelay after its start.
	FailAll bool
	// LoseResponses is the number of coming exchanges that take effect without a
	// response; each one decrements it.
	LoseResponses int
	// Delay is the time by which each exchange is delayed before it is handled.
	Delay time.Duration
	// IgnoreTokens makes the agent accept stale fencing tokens.
	IgnoreTokens bool
	// IgnoreLeases makes tasks continue after their lease has expired.
	IgnoreLeases bool
}
