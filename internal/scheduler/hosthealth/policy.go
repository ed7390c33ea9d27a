package hosthealth

import "time"

// Policy is the part of the quarantine rule that operators set.
type Policy struct {
	// Failures is the threshold of consecutive failures for quarantine.
	Failures int
	// MaxPercent is the largest percentage of hosts in quarantine.
	MaxPercent int
	// ProbationAfter is the time after which a host in quarantine may run one task
	// at a time.
	ProbationAfter time.Duration
}
