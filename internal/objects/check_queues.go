package objects

import (
	"fmt"
	"time"
)

// MaxConcurrency bounds the number of requests in flight of one team on one
// upstream.
const MaxConcurrency = 1 << 20

func (c *checker) checkQueue(ref Ref, q Queue) {
	c.checkRange(ref, "priority", q.Priority, -1000, 1000)
	if q.Open && len(q.Teams) > 0 {
		c.addFault(ref, "open", "true", "either open = true or a list of teams, not both")
	}
	if !q.Open && len(q.Teams) == 0 {
		c.addFault(ref, "teams", "[]", "at least one team, or open = true")
	}
	c.checkTeamList(ref, "teams", q.Teams)
}

func (c *checker) checkTeamList(ref Ref, field string, teams []string) {
	seen := map[string]bool{}
	for i, team := range teams {
		at := fmt.Sprintf("%s[%d]", field, i)
		if seen[team] {
			c.addFault(ref, at, team, "each team once")
			continue
		}
		seen[team] = true
		checkReference(c, ref, at, KindTeam, team, c.set.Teams)
	}
}

func (c *checker) checkPolicy(ref Ref, p Policy) {
	if ref.Name != PolicyName {
		c.addFault(ref, "name", ref.Name, PolicyName)
	}
	c.checkRange(ref, "share_weight", p.ShareWeight, 0, 100)
	c.checkRange(ref, "packing_weight", p.PackingWeight, 0, 100)
	c.checkRange(ref, "quarantine_failures", p.QuarantineFailures, 2, 100)
	c.checkRange(ref, "quarantine_max_percent", p.QuarantineMaxPercent, 0, 50)
	c.checkRange(ref, "retry_budget_percent", p.RetryBudgetPercent, 0, 100)
	c.checkRange(ref, "max_attempts", p.MaxAttempts, 1, 1000)
	c.checkDuration(ref, "probation_after", p.ProbationAfter, time.Second, 24*time.Hour)
	c.checkDuration(ref, "max_wait", p.MaxWait, time.Second, 7*24*time.Hour)
}

func (c *checker) checkDuration(ref Ref, field string, d Duration, low, high time.Duration) {
	if v := time.Duration(d); v < low || v > high {
		c.addFault(ref, field, v.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (c *checker) checkUpstream(ref Ref, u Upstream) {
	if !validName(u.Service) {
		c.addFault(ref, "service", u.Service, nameRule)
	}
	c.checkRange(ref, "team_concurrency", u.TeamConcurrency, 0, MaxConcurrency)
	c.checkRange(ref, "retry_percent", u.RetryPercent, 0, 100)
	c.checkDuration(ref, "max_request_time", u.MaxRequestTime, 10*time.Millisecond, time.Hour)
	teams := make([]string, len(u.Teams))
	for i, t := range u.Teams {
		teams[i] = t.Team
		c.checkRange(ref, fmt.Sprintf("teams[%d].concurrency", i), t.Concurrency, 0, MaxConcurrency)
	}
	c.checkTeamList(ref, "teams", teams)
	seen := map[string]bool{}
	for i, r := range u.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if class := r.Class.String(); seen[class] {
			c.addFault(ref, field+".class", class, "one rule for each class")
		}
		seen[r.Class.String()] = true
		c.checkTeamList(ref, field+".teams", r.Teams)
	}
}
