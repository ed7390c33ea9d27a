package worker

import "time"

// Faults changes how an agent behaves.
type Faults struct {
	// FailAll makes every task fail shortly after its start.
	FailAll bool
	// LoseAnswers is the number of coming exchanges that take effect but whose
	// answer is lost.
	LoseAnswers int
	// Delay is added before each exchange is handled.
	Delay time.Duration
	// IgnoreTokens makes the agent accept stale fencing tokens.
	IgnoreTokens bool
	// IgnoreLeases makes tasks run on after the end of their lease.
	IgnoreLeases bool
}
