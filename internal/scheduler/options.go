package scheduler

import "time"

// Options are the settings of a Scheduler. A zero field takes its default.
type Options struct {
	// HasAllHosts is set if the shard holds every host of all shards, so that a
	// task that fits no host here fits no host at all.
	HasAllHosts bool
	// MaxActions bounds the actions of one Decide; the last gang may exceed it.
	// Default 1024.
	MaxActions int
	// MaxReservations bounds the jobs that hold a reservation because they
	// waited longer than MaxWait. Default 8.
	MaxReservations int
	// MaxPreemptions bounds the reservations that preemption makes for urgent
	// tasks. Default 256.
	MaxPreemptions int
	// OfferDelay is the waiting time after which tasks for which the shard or
	// the limit has too little free capacity are offered to other shards.
	// Default 5 s.
	OfferDelay time.Duration
	// OfferInterval is the interval between two offers of one job. Default 10 s.
	OfferInterval time.Duration
	// StopGracePeriod is the time from a checkpoint request to the kill.
	// Default 4 s.
	StopGracePeriod time.Duration
	// InfeasibleTimeout is how long a job that fitted the hosts and its limit
	// before must not fit them until it ends as infeasible. Default 30 s.
	InfeasibleTimeout time.Duration
	// GangRunningTimeout is the timeout after which the part of a spanning gang
	// stops unless its coordinator has reported that all parts run. Default 30 s.
	GangRunningTimeout time.Duration
	// Decisions is the number of recent decisions that are kept. Default 256.
	Decisions int
}

const (
	// killInterval is the time between kill requests for a task that does not
	// end.
	killInterval = 2 * time.Second
	// startValidity is the time after which a start request that was not
	// delivered cannot take effect: a worker refuses starts older than 5 s,
	// plus clock drift of 1 % and a pause of 500 ms.
	startValidity = 5*time.Second + 550*time.Millisecond
	// gangSearchInterval is the least time between two searches for hosts for
	// the same gang requirement.
	gangSearchInterval = 100 * time.Millisecond
	// preemptRetryInterval is the least time after a search for victims that
	// found none.
	preemptRetryInterval = 250 * time.Millisecond
	// backgroundAgeFactor times MaxWait is the waiting time after which
	// background work is ordered like normal work, so that it cannot starve.
	backgroundAgeFactor = 4
	// healthyRunThreshold is the run time from which on earlier failures of a
	// task no longer count.
	healthyRunThreshold = 10 * time.Minute
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
	setTime(&o.OfferDelay, 5*time.Second)
	setTime(&o.OfferInterval, 10*time.Second)
	setTime(&o.StopGracePeriod, 4*time.Second)
	setTime(&o.InfeasibleTimeout, 30*time.Second)
	setTime(&o.GangRunningTimeout, defaultGangRunningTimeout)
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
