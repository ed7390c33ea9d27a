package objects

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// PolicyName is the only accepted name of a policy: one policy applies to the
// whole cluster.
const PolicyName = "cluster"

// Policy weighs the scheduling goals against each other and configures retries,
// quarantine and reservations.
type Policy struct {
	// ShareWeight is 0 to 100: at 0 the oldest job starts first, at 100 the job of
	// the team furthest below its share.
	ShareWeight int64 `json:"share_weight" toml:"share_weight"`
	// PackingWeight is 0 to 100: at 0 tasks are spread over hosts, at 100 packed.
	PackingWeight int64 `json:"packing_weight" toml:"packing_weight"`
	// QuarantineFailures is the number of consecutive failures, from at least two
	// jobs, after which a host is quarantined.
	QuarantineFailures int64 `json:"quarantine_failures" toml:"quarantine_failures"`
	// QuarantineMaxPercent bounds the percentage of hosts in quarantine.
	QuarantineMaxPercent int64 `json:"quarantine_max_percent" toml:"quarantine_max_percent"`
	// ProbationAfter is the time in quarantine before a host is tried again.
	ProbationAfter Duration `json:"probation_after" toml:"probation_after"`
	// RetryBudgetPercent bounds the percentage of a team's starts that are retries.
	RetryBudgetPercent int64 `json:"retry_budget_percent" toml:"retry_budget_percent"`
	// MaxAttempts bounds the number of attempts of one task.
	MaxAttempts int64 `json:"max_attempts" toml:"max_attempts"`
	// MaxWait is the waiting time after which hosts are reserved for a gang or a
	// large task.
	MaxWait Duration `json:"max_wait" toml:"max_wait"`
}

// DefaultPolicy returns the policy that applies while none is published. It also
// provides the values of fields that a published policy omits.
func DefaultPolicy() Policy {
	return Policy{
		ShareWeight: 50, PackingWeight: 50, QuarantineFailures: 3, QuarantineMaxPercent: 10,
		ProbationAfter: Duration(time.Minute), RetryBudgetPercent: 10, MaxAttempts: 5,
		MaxWait: Duration(5 * time.Minute),
	}
}

func (p Policy) contract() scheduler.Policy {
	return scheduler.Policy{
		ShareWeight: int(p.ShareWeight), PackingWeight: int(p.PackingWeight),
		QuarantineFailures: int(p.QuarantineFailures), QuarantineMaxPercent: int(p.QuarantineMaxPercent),
		ProbationAfter: time.Duration(p.ProbationAfter), RetryBudgetPercent: int(p.RetryBudgetPercent),
		MaxAttempts: int32(p.MaxAttempts), MaxWait: time.Duration(p.MaxWait),
	}
}
