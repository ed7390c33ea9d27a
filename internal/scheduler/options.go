package scheduler

import "time"

// Options are the settings of a Scheduler. A zero field takes its default.
type Options struct {
	// WholeFleet is set if the shard is the whole fleet, so that a task which
	// fits no host here fits none anywhere.
	WholeFleet bool
	// MaxActions bounds the actions of one Decide; the last gang may go beyond it. Default 1024.
	MaxActions int
	// MaxReservations bounds the jobs that hold reservations after MaxWait. Default 8.
	MaxReservations int
	// MaxPreemptions bounds the reservations of urgent tasks. Default 256.
	MaxPreemptions int
	// OfferAfter is the wait after which tasks without room are offered. Default 5 s.
	OfferAfter time.Duration
	// OfferEvery is the time between two offers of one job. Default 10 s.
	OfferEvery time.Duration
	// StopGrace is the time from a checkpoint request to the kill. Default 4 s.
	StopGrace time.Duration
	// InfeasibleAfter is how long a shape that fitted a host before must fit
	// none until it counts as infeasible. Default 30 s.
	InfeasibleAfter time.Duration
	// WholeFor is how long the part of a spanning gang runs without word from
	// its coordinator that all parts run. Default 30 s.
	WholeFor time.Duration
	// Decisions is the length of the ring of recent decisions. Default 256.
	Decisions int
}

const (
	// killEvery is the time between kill requests for a task that does not end.
	killEvery = 2 * time.Second
	// startValidity is the time after which a start that was not delivered
	// cannot take effect: a worker refuses starts older than 5 s, plus drift
	// of 1 % and a pause of 500 ms.
	startValidity = 5*time.Second + 550*time.Millisecond
	// gangRetry is the least time between two searches for the same kind of gang.
	gangRetry = 100 * time.Millisecond
	// preemptRetry is the least time between two vain searches for victims.
	preemptRetry = 250 * time.Millisecond
	// backgroundFactor times MaxWait is the age at which background work
	// is ordered like normal work, so that it cannot starve.
	backgroundFactor = 4
	// healthyRun is the run time after which earlier failures of a task no longer count.
	healthyRun = 10 * time.Minute
)

func (o Options) withDefaults() Options {
	setInt := func(p *int, d int) {
		if *p <= 0 {
			*p = d
		}
	}
	setTime := func(p *time.Duration, d time.Duration) {
		if *p <= 0 {
			*p = d
		}
	}
	setInt(&o.MaxActions, 1024)
	setInt(&o.MaxReservations, 8)
	setInt(&o.MaxPreemptions, 256)
	setInt(&o.Decisions, 256)
	setTime(&o.OfferAfter, 5*time.Second)
	setTime(&o.OfferEvery, 10*time.Second)
	setTime(&o.StopGrace, 4*time.Second)
	setTime(&o.InfeasibleAfter, 30*time.Second)
	setTime(&o.WholeFor, wholeFor)
	return o
}

func (p Policy) withDefaults() Policy {
	if p.QuarantineFailures <= 0 {
		p.QuarantineFailures = 3
	}
	if p.QuarantineMaxPercent <= 0 {
		p.QuarantineMaxPercent = 10
	}
	if p.ProbationAfter <= 0 {
		p.ProbationAfter = 30 * time.Second
	}
	if p.RetryBudgetPercent <= 0 {
		p.RetryBudgetPercent = 10
	}
	if p.MaxAttempts <= 0 {
		p.MaxAttempts = 3
	}
	if p.MaxWait <= 0 {
		p.MaxWait = time.Minute
	}
	return p
}
