package router

import (
	"slices"
	"strings"
	"time"
)

// Admission queues the requests that wait for a slot of one upstream and
// selects the next one by class and by weighted fair queuing over teams.
type Admission struct {
	options Options
	teams   map[string]*teamQueue
	order   []*teamQueue
	// virtualTime is the pass of the team served last. A team that was idle
	// resumes at this value, so it cannot accumulate credit while idle.
	virtualTime  time.Duration
	meanSlotTime time.Duration
	capacity     int
	waiting      int
	dropped      []Ticket
}

// NewAdmission returns an Admission without teams or requests.
func NewAdmission(o Options) *Admission {
	return &Admission{options: o, teams: map[string]*teamQueue{}}
}

// SetCapacity sets the number of slots that the node has leased.
func (a *Admission) SetCapacity(slots int) { a.capacity = slots }

// Waiting returns the number of waiting requests.
func (a *Admission) Waiting() int { return a.waiting }

// MeanSlotTime returns the moving mean of the time that a request occupies a
// slot.
func (a *Admission) MeanSlotTime() time.Duration { return a.meanSlotTime }

// Enqueue queues a request. It returns a Refusal if there are too many teams, the
// team's queue is full, or the request would end after its deadline.
func (a *Admission) Enqueue(now time.Duration, t Ticket) *Refusal {
	q := a.team(t)
	if q == nil {
		return &Refusal{Code: CodeTooManyTeams, RetryAfter: time.Second}
	}
	wait := a.expectedWait(q, t)
	if q.length() >= a.options.QueuePerTeam {
		return &Refusal{Code: CodeQueueFull, RetryAfter: max(wait, a.meanSlotTime)}
	}
	if now+wait+a.meanSlotTime > t.Deadline {
		return &Refusal{Code: CodeDeadlineUnreachable, RetryAfter: max(wait, a.meanSlotTime)}
	}
	if q.idle() {
		q.pass = max(q.pass, a.virtualTime)
	}
	q.waiting[t.Class] = append(q.waiting[t.Class], t)
	a.waiting++
	return nil
}

func (a *Admission) team(t Ticket) *teamQueue {
	q := a.teams[t.Team]
	if q == nil {
		if len(a.teams) >= a.options.MaxTeams {
			a.removeIdleTeams()
		}
		if len(a.teams) >= a.options.MaxTeams {
			return nil
		}
		q = &teamQueue{name: t.Team, pass: a.virtualTime}
		a.teams[t.Team] = q
		a.order = append(a.order, q)
		slices.SortFunc(a.order, func(x, y *teamQueue) int { return strings.Compare(x.name, y.name) })
	}
	q.weight, q.limit = max(t.Weight, 1), t.Limit
	return q
}

func (a *Admission) removeIdleTeams() {
	a.order = slices.DeleteFunc(a.order, func(q *teamQueue) bool {
		if q.idle() {
			delete(a.teams, q.name)
		}
		return q.idle()
	})
}

// expectedWait estimates the time until the request gets a slot: the time to
// serve the team's own queue with the team's share of the slots, or the time to
// serve the queues of all teams with all slots if that is shorter.
func (a *Admission) expectedWait(q *teamQueue, t Ticket) time.Duration {
	slots := time.Duration(a.capacity)
	if q.limit > 0 {
		slots = min(slots, time.Duration(q.limit))
	}
	if slots <= 0 {
		return 0
	}
	weights, aheadTotal := q.weight, 0
	for _, o := range a.order {
		ahead := o.ahead(t.Class)
		aheadTotal += ahead
		if o != q && ahead > 0 {
			weights += o.weight
		}
	}
	own := time.Duration(q.ahead(t.Class)) * a.meanSlotTime * time.Duration(weights) / (slots * time.Duration(q.weight))
	return min(own, time.Duration(aheadTotal)*a.meanSlotTime/slots)
}

// Next returns the request that gets the next slot: urgent before normal before
// background, then the team with the least slot time in relation to its weight.
// free is the number of free slots on this node. Requests that can no longer
// meet their deadline are dropped; see TakeDropped.
func (a *Admission) Next(now time.Duration, free int) (Ticket, bool) {
	a.decayRecentPeaks(now)
	for _, class := range classOrder {
		for {
			q := a.nextTeam(int(class), free)
			if q == nil {
				break
			}
			t := q.waiting[class][0]
			q.waiting[class] = q.waiting[class][1:]
			a.waiting--
			if now+a.meanSlotTime > t.Deadline {
				a.dropped = append(a.dropped, t)
				continue
			}
			q.inFlight++
			q.recentPeak = max(q.recentPeak, q.inFlight)
			a.virtualTime = max(a.virtualTime, q.pass)
			q.pass += a.meanSlotTime / time.Duration(q.weight)
			return t, true
		}
	}
	return Ticket{}, false
}

// nextTeam returns the team with the lowest pass among those that have a request
// of the class waiting and may take a slot, or nil.
func (a *Admission) nextTeam(class, free int) *teamQueue {
	var best *teamQueue
	for _, q := range a.order {
		if len(q.waiting[class]) == 0 || (q.limit > 0 && q.inFlight >= q.limit) || a.mustLeaveHeadroom(q, free) {
			continue
		}
		if best == nil || q.pass < best.pass {
			best = q
		}
	}
	return best
}

// mustLeaveHeadroom reports whether a team at or above its share must leave the
// free slots to teams below their share. Otherwise a team that floods the node
// takes every slot, and the next request of another team has to wait until one
// of its requests ends.
func (a *Admission) mustLeaveHeadroom(q *teamQueue, free int) bool {
	weights := int64(0)
	for _, o := range a.order {
		if o == q || o.recentPeak > 0 || !o.idle() {
			weights += o.weight
		}
	}
	share := func(o *teamQueue) int { return int(int64(a.capacity) * o.weight / weights) }
	if a.capacity == 0 || q.inFlight < share(q) {
		return false
	}
	reserved := 0
	for _, o := range a.order {
		if o != q {
			reserved += max(min(o.recentPeak, share(o))-o.inFlight, 0)
		}
	}
	return free <= reserved*a.options.HeadroomPercent/100
}

// decayRecentPeaks lowers the recent peak of each team by a quarter per second,
// but not below its requests in flight.
func (a *Admission) decayRecentPeaks(now time.Duration) {
	for _, q := range a.order {
		if now-q.decayedAt >= time.Second {
			q.decayedAt = now
			q.recentPeak = max(q.inFlight, q.recentPeak*3/4)
		}
	}
}

// TakeDropped returns and clears the requests that Next dropped because their
// deadline can no longer be met.
func (a *Admission) TakeDropped() []Ticket {
	out := a.dropped
	a.dropped = nil
	return out
}

// Cancel removes a waiting request. It returns false if the request is not in
// the queue.
func (a *Admission) Cancel(t Ticket) bool {
	q := a.teams[t.Team]
	if q == nil {
		return false
	}
	i := slices.IndexFunc(q.waiting[t.Class], func(w Ticket) bool { return w.ID == t.ID })
	if i < 0 {
		return false
	}
	q.waiting[t.Class] = slices.Delete(q.waiting[t.Class], i, i+1)
	a.waiting--
	return true
}

// Done ends a request that Next returned. took is the time that it occupied a
// slot. representative is false if that time must not count towards the mean.
func (a *Admission) Done(t Ticket, took time.Duration, representative bool) {
	q := a.teams[t.Team]
	if q == nil || q.inFlight == 0 {
		return
	}
	q.inFlight--
	q.pass += (took - a.meanSlotTime) / time.Duration(q.weight)
	if !representative {
		return
	}
	if a.meanSlotTime == 0 {
		a.meanSlotTime = took
		return
	}
	a.meanSlotTime += (took - a.meanSlotTime) / movingMeanDivisor
}
