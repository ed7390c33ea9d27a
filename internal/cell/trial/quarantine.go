package trial

import "time"

// MaxIdle is how long a host is kept free for a suspected task that does not use it.
const MaxIdle = 1500 * time.Millisecond

// Quarantine is a host that is kept free of other work for work under trial.
type Quarantine interface {
	// Begun reports whether the trial has begun there.
	Begun() bool
	// Gone reports whether the runs of the trial are gone from the host, Cleared whether it
	// has shown that its task does not crash hosts.
	Gone() bool
	Cleared() bool
	// Wanted reports whether the work still waits for a trial, and can use the host.
	Wanted() bool
	// AwaitsAdvice reports whether a call for advice for the work is in flight.
	AwaitsAdvice() bool
	// UseBy returns when the trial has to have begun.
	UseBy() time.Duration
}

// Step is what happens to a host that is kept free.
type Step uint8

// The steps.
const (
	Keep Step = iota
	// End ends the trial.
	End
	// Clear ends the trial and the suspicion of the task.
	Clear
	// Release gives the host back to other work.
	Release
	// Extend keeps the host free for MaxIdle from now on.
	Extend
	// GiveBack gives all hosts of the work back on which its trial has not begun.
	GiveBack
)

// Next returns what happens to a host that is kept free.
func Next(q Quarantine, now time.Duration) Step {
	switch begun := q.Begun(); {
	case begun && q.Gone():
		return End
	case begun && q.Cleared():
		return Clear
	case begun:
		return Keep
	case !q.Wanted():
		return Release
	case q.AwaitsAdvice():
		return Extend
	case now > q.UseBy():
		return GiveBack
	}
	return Keep
}
