package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const classCount = int(work.Background) + 1

// retryBurst is the number of retries a team may always make, in hundredths.
const retryBurst = 1000

// retryTrickle is the time after which a team without new starts earns one
// retry, so that its tasks do not wait for ever.
const retryTrickle = 10 * time.Second

// team is a client account with work in this shard.
type team struct {
	name   string
	weight int64
	known  bool
	limit  *limit
	used   resource.Vector
	// share is the dominant share in parts per million.
	share int64
	// entitled and above are as of the last call of entitle.
	entitled int64
	above    bool
	live     int
	// index is the position in the list of teams.
	index int
	// heads are the first fitting lanes; set during firstOf only.
	heads  [classCount]*lane
	queues [classCount]queue
	// waiting counts startable tasks.
	waiting int
	// wanted counts startable tasks of jobs that are not closed; wantedUnits is
	// what those of them that a unit covers take in the limit, without gangs
	// that span shards.
	wanted, wantedUnits int64
	// retries is the retry budget in hundredths of a retry.
	retries  int64
	earnedAt time.Duration
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, index: len(s.teamList), retries: retryBurst}
		for c := range t.queues {
			t.queues[c].byKey = map[laneKey]*lane{}
		}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
		s.bindTeam(t)
	}
	return t
}

// bindTeam sets weight and limit of t from the contract.
func (s *Scheduler) bindTeam(t *team) {
	c, ok := s.contract.Teams[t.name]
	s.weights -= t.weight
	t.known, t.weight, t.limit = ok, max(c.Weight, 1), nil
	s.weights += t.weight
	if l := s.limits[c.Limit]; ok && l != nil {
		t.limit = l
	}
}

func (s *Scheduler) charge(a *attempt) {
	t := a.job.team
	a.charged, a.cost = t, a.job.cost
	t.used = t.used.Add(a.size)
	t.live++
	t.share = fairshare.Dominant(t.used, s.capacity)
	if t.limit != nil {
		t.limit.used += a.cost
		s.checkLimit(t.limit)
	}
}

func (s *Scheduler) discharge(a *attempt) {
	t := a.charged
	a.charged = nil
	t.used = t.used.Sub(a.size)
	t.live--
	t.share = fairshare.Dominant(t.used, s.capacity)
	if t.limit != nil {
		t.limit.used -= a.cost
		s.wakeLimit(t.limit)
	}
}

// earn adds to the retry budget for a first start, or for the time gone by.
func (t *team) earn(hundredths int64, now time.Duration) {
	if n := int64((now - t.earnedAt) / retryTrickle); n > 0 {
		t.earnedAt = now
		hundredths += 100 * n
	}
	t.retries = min(t.retries+hundredths, 10*retryBurst)
}
