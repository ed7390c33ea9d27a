package hosthealth

import "time"

// Policy is the published part of the quarantine rule.
type Policy struct {
	Failures       int
	MaxPercent     int
	ProbationAfter time.Duration
}
