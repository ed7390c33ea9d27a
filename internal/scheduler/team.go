package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const classCount = int(work.Background) + 1

// initialRetryBudget is the retry budget of a new team, in hundredths of a
// retry. The budget grows to at most ten times as much.
const initialRetryBudget = 1000

// retryRefillInterval is the interval at which a team earns one retry without
// new starts, so that its tasks do not wait forever.
const retryRefillInterval = 10 * time.Second

// team is a client account with work in this shard.
type team struct {
	name   string
	weight int64
	known  bool
	limit  *limit
	used   resource.Vector
	// share is the dominant share in parts per million.
	share int64
	// entitled and aboveEntitled are computed by computeEntitledShares and stay
	// until its next call.
	entitled      int64
	aboveEntitled bool
	live          int
	// index is the position in the list of teams.
	index int
	// firstGroups holds the first matching job group of each class; it is set
	// during firstGroup only.
	firstGroups [classCount]*jobGroup
	queues      [classCount]classQueue
	// waiting counts startable tasks.
	waiting int
	// demand counts startable tasks of jobs that are not closed. sizeDemands
	// counts them by their size, without tasks that need a resource which the
	// unit of the limit lacks and without spanning gangs.
	demand      int64
	sizeDemands sizeDemands
	// retryBudget is in hundredths of a retry.
	retryBudget int64
	refilledAt  time.Duration
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, index: len(s.teamList), retryBudget: initialRetryBudget}
		t.sizeDemands.index = map[resource.Vector]int{}
		for c := range t.queues {
			t.queues[c].byKey = map[groupKey]*jobGroup{}
		}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
		s.applyContractToTeam(t)
	}
	return t
}

// applyContractToTeam sets weight and limit of t from the contract.
func (s *Scheduler) applyContractToTeam(t *team) {
	c, ok := s.contract.Teams[t.name]
	s.totalWeight -= t.weight
	t.known, t.weight, t.limit = ok, max(c.Weight, 1), nil
	s.totalWeight += t.weight
	if l := s.limits[c.Limit]; ok && l != nil {
		t.limit = l
	}
}

// charge counts an attempt against its team and the limit of the team.
func (s *Scheduler) charge(a *attempt) {
	t := a.job.team
	a.chargedTeam, a.cost = t, a.job.cost
	t.used = t.used.Add(a.size)
	t.live++
	t.share = fairshare.DominantShare(t.used, s.capacity)
	if t.limit != nil {
		t.limit.used += a.cost
		s.checkLimit(t.limit)
	}
}

// uncharge reverses charge.
func (s *Scheduler) uncharge(a *attempt) {
	t := a.chargedTeam
	a.chargedTeam = nil
	t.used = t.used.Sub(a.size)
	t.live--
	t.share = fairshare.DominantShare(t.used, s.capacity)
	if t.limit != nil {
		t.limit.used -= a.cost
		s.resumeFitting(t.limit)
	}
}

// addRetryBudget adds to the retry budget for a first start, and for the time
// since the last refill.
func (t *team) addRetryBudget(hundredths int64, now time.Duration) {
	if n := int64((now - t.refilledAt) / retryRefillInterval); n > 0 {
		t.refilledAt = now
		hundredths += 100 * n
	}
	t.retryBudget = min(t.retryBudget+hundredths, 10*initialRetryBudget)
}
