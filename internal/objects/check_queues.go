package objects

import (
	"fmt"
	"time"
)

// MaxConcurrency bounds the requests in flight of one team on one upstream.
const MaxConcurrency = 1 << 20

func (c *checker) checkQueue(ref Ref, q Queue) {
	c.within(ref, "priority", q.Priority, -1000, 1000)
	if q.Open && len(q.Teams) > 0 {
		c.fault(ref, "open", "true", "either open = true or a list of teams, not both")
	}
	if !q.Open && len(q.Teams) == 0 {
		c.fault(ref, "teams", "[]", "at least one team, or open = true")
	}
	c.checkTeamList(ref, "teams", q.Teams)
}

func (c *checker) checkTeamList(ref Ref, field string, teams []string) {
	seen := map[string]bool{}
	for i, team := range teams {
		at := fmt.Sprintf("%s[%d]", field, i)
		if seen[team] {
			c.fault(ref, at, team, "each team once")
			continue
		}
		seen[team] = true
		refers(c, ref, at, KindTeam, team, c.set.Teams)
	}
}

func (c *checker) checkPolicy(ref Ref, p Policy) {
	if ref.Name != PolicyName {
		c.fault(ref, "name", ref.Name, PolicyName)
	}
	c.within(ref, "share_weight", p.ShareWeight, 0, 100)
	c.within(ref, "packing_weight", p.PackingWeight, 0, 100)
	c.within(ref, "quarantine_failures", p.QuarantineFailures, 2, 100)
	c.within(ref, "quarantine_max_percent", p.QuarantineMaxPercent, 0, 50)
	c.within(ref, "retry_budget_percent", p.RetryBudgetPercent, 0, 100)
	c.within(ref, "max_attempts", p.MaxAttempts, 1, 1000)
	c.duration(ref, "probation_after", p.ProbationAfter, time.Second, 24*time.Hour)
	c.duration(ref, "max_wait", p.MaxWait, time.Second, 7*24*time.Hour)
}

func (c *checker) duration(ref Ref, field string, d Duration, low, high time.Duration) {
	if v := time.Duration(d); v < low || v > high {
		c.fault(ref, field, v.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (c *checker) checkUpstream(ref Ref, u Upstream) {
	if !validName(u.Service) {
		c.fault(ref, "service", u.Service, nameRule)
	}
	c.within(ref, "team_concurrency", u.TeamConcurrency, 0, MaxConcurrency)
	c.within(ref, "retry_percent", u.RetryPercent, 0, 100)
	c.duration(ref, "max_request_time", u.MaxRequestTime, 10*time.Millisecond, time.Hour)
	teams := make([]string, len(u.Teams))
	for i, t := range u.Teams {
		teams[i] = t.Team
		c.within(ref, fmt.Sprintf("teams[%d].concurrency", i), t.Concurrency, 0, MaxConcurrency)
	}
	c.checkTeamList(ref, "teams", teams)
	seen := map[string]bool{}
	for i, r := range u.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if class := r.Class.String(); seen[class] {
			c.fault(ref, field+".class", class, "one rule for each class")
		}
		seen[r.Class.String()] = true
		c.checkTeamList(ref, field+".teams", r.Teams)
	}
}
