package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Contract is the part of the published objects that a scheduler needs.
type Contract struct {
	Revision uint64
	Teams    map[string]Team
	Queues   map[string]Queue
	Limits   map[string]Limit
	Policy   Policy
}

// Team is the contract of one team.
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

// Limit is an upper limit in contract units.
type Limit struct {
	Name string
	// Units is the limit over the whole fleet.
	Units int64
	// UnitName is the name of the unit object, such as "slot".
	UnitName string
	// Unit is what one unit consists of.
	Unit resource.Vector
}

// Policy is the published balance between the measures.
type Policy struct {
	// ShareWeight is 0 to 100: at 0 the oldest job goes first, at 100 the team
	// furthest below its share goes first.
	ShareWeight int
	// PackingWeight is 0 to 100: at 0 tasks spread over hosts, at 100 they pack.
	PackingWeight int
	// QuarantineFailures is the number of failures in a row, from at least two
	// jobs, after which a host is taken out.
	QuarantineFailures int
	// QuarantineMaxPercent bounds the part of the hosts that is taken out.
	QuarantineMaxPercent int
	// ProbationAfter is how long a host stays out before it is tried again.
	ProbationAfter time.Duration
	// RetryBudgetPercent is the part of a team's starts that may be retries.
	RetryBudgetPercent int
	// MaxAttempts bounds the attempts of one task.
	MaxAttempts int32
	// MaxWait is the age after which a gang or a large task reserves hosts.
	MaxWait time.Duration
}
