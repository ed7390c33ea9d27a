package objects

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Upstream is a service that requests are routed to.
type Upstream struct {
	// Service is the upstream name that the runners have in the host list.
	Service string `json:"service" toml:"service"`
	// TeamConcurrency bounds the number of requests in flight of each team.
	TeamConcurrency int64 `json:"team_concurrency" toml:"team_concurrency"`
	// Teams overrides TeamConcurrency for individual teams.
	Teams []UpstreamTeam `json:"teams,omitempty" toml:"teams"`
	// Classes restricts request classes to teams; a class without a rule is open
	// to all teams.
	Classes []ClassRule `json:"classes,omitempty" toml:"classes"`
	// MaxRequestTime bounds one request on a runner.
	MaxRequestTime Duration `json:"max_request_time" toml:"max_request_time"`
	// RetryPercent bounds the percentage of the traffic that may be retries.
	RetryPercent int64 `json:"retry_percent" toml:"retry_percent"`
}

// UpstreamTeam sets the concurrency of one team on an upstream.
type UpstreamTeam struct {
	Team        string `json:"team" toml:"team"`
	Concurrency int64  `json:"concurrency" toml:"concurrency"`
}

// ClassRule lists the teams that may use a class on an upstream.
type ClassRule struct {
	Class work.Class `json:"class" toml:"class"`
	Teams []string   `json:"teams" toml:"teams"`
}

// DefaultUpstream returns the values of the fields that an upstream omits.
func DefaultUpstream() Upstream {
	return Upstream{TeamConcurrency: 50, MaxRequestTime: Duration(30 * time.Second), RetryPercent: 10}
}

// Concurrency returns the maximum number of requests in flight of a team.
func (u Upstream) Concurrency(team string) int64 {
	for _, t := range u.Teams {
		if t.Team == team {
			return t.Concurrency
		}
	}
	return u.TeamConcurrency
}

// Allows reports whether a team may use a class on the upstream.
func (u Upstream) Allows(team string, class work.Class) bool {
	for _, r := range u.Classes {
		if r.Class != class {
			continue
		}
		for _, t := range r.Teams {
			if t == team {
				return true
			}
		}
		return false
	}
	return true
}
