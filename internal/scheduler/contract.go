package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Contract holds the published settings that a scheduler needs: teams, queues,
// limits and policy.
type Contract struct {
	Revision uint64
	Teams    map[string]Team
	Queues   map[string]Queue
	Limits   map[string]Limit
	Policy   Policy
}

// Team holds the published settings of one team.
type Team struct {
	Name string
	// Weight is the team's share relative to the other teams.
	Weight int64
	// Limit names the upper limit that the team's tasks count against.
	Limit string
}

// Queue orders the jobs of one or more teams.
type Queue struct {
	Name string
	// Priority orders queues of one team; higher first.
	Priority int
}

// Limit is an upper limit, counted in the units that it defines.
type Limit struct {
	Name string
	// Units is the limit over all shards.
	Units int64
	// UnitName is the name of the unit object, such as "slot".
	UnitName string
	// Unit is the amount of resources of one unit.
	Unit resource.Vector
}

// Policy holds the published weights, thresholds and bounds of scheduling.
type Policy struct {
	// ShareWeight is 0 to 100: at 0 the oldest job goes first, at 100 the team
	// furthest below its share goes first.
	ShareWeight int
	// PackingWeight is 0 to 100: at 0 tasks spread over hosts, at 100 they pack.
	PackingWeight int
	// QuarantineFailures is the number of consecutive failures, from at least
	// two jobs, after which a host is quarantined.
	QuarantineFailures int
	// QuarantineMaxPercent bounds the percentage of the hosts that are
	// quarantined at once.
	QuarantineMaxPercent int
	// ProbationAfter is how long a host stays quarantined before it gets one
	// task on probation.
	ProbationAfter time.Duration
	// RetryBudgetPercent is the percentage of a team's starts that may be
	// retries.
	RetryBudgetPercent int
	// MaxAttempts bounds the attempts of one task.
	MaxAttempts int32
	// MaxWait is the waiting time after which a job, such as a gang or one with
	// large tasks, may reserve hosts.
	MaxWait time.Duration
}
