package router

import (
	"slices"
	"strings"
	"time"
)

// Admission decides who waits for a slot of one upstream and who goes next.
type Admission struct {
	options Options
	teams   map[string]*teamQueue
	order   []*teamQueue
	// virtual is the pass of the team served last; a team that comes back
	// from idleness starts there and cannot save up slot time.
	virtual  time.Duration
	service  time.Duration
	capacity int
	waiting  int
	shed     []Ticket
}

// NewAdmission returns an empty queue.
func NewAdmission(o Options) *Admission {
	return &Admission{options: o, teams: map[string]*teamQueue{}}
}

// SetCapacity tells how many slots the node holds.
func (a *Admission) SetCapacity(slots int) { a.capacity = slots }

// Waiting returns the number of waiting requests.
func (a *Admission) Waiting() int { return a.waiting }

// Service returns the moving mean of the slot time of a request.
func (a *Admission) Service() time.Duration { return a.service }

// Offer queues a request or refuses it: the team's queue is full, or the
// request would end after its deadline.
func (a *Admission) Offer(now time.Duration, t Ticket) *Refusal {
	q := a.team(t)
	if q == nil {
		return &Refusal{Code: CodeTeams, RetryAfter: time.Second}
	}
	wait := a.expectedWait(q, t)
	if q.length() >= a.options.QueuePerTeam {
		return &Refusal{Code: CodeQueueFull, RetryAfter: max(wait, a.service)}
	}
	if now+wait+a.service > t.Deadline {
		return &Refusal{Code: CodeDeadline, RetryAfter: max(wait, a.service)}
	}
	if q.idle() {
		q.pass = max(q.pass, a.virtual)
	}
	q.waiting[t.Class] = append(q.waiting[t.Class], t)
	a.waiting++
	return nil
}

func (a *Admission) team(t Ticket) *teamQueue {
	q := a.teams[t.Team]
	if q == nil {
		if len(a.teams) >= a.options.MaxTeams {
			a.forgetIdle()
		}
		if len(a.teams) >= a.options.MaxTeams {
			return nil
		}
		q = &teamQueue{name: t.Team, pass: a.virtual}
		a.teams[t.Team] = q
		a.order = append(a.order, q)
		slices.SortFunc(a.order, func(x, y *teamQueue) int { return strings.Compare(x.name, y.name) })
	}
	q.weight, q.limit = max(t.Weight, 1), t.Limit
	return q
}

func (a *Admission) forgetIdle() {
	a.order = slices.DeleteFunc(a.order, func(q *teamQueue) bool {
		if q.idle() {
			delete(a.teams, q.name)
		}
		return q.idle()
	})
}

// expectedWait is the time until the request would get a slot: the team's own
// line at the team's part of the slots, or the whole line if that is shorter.
func (a *Admission) expectedWait(q *teamQueue, t Ticket) time.Duration {
	slots := time.Duration(a.capacity)
	if q.limit > 0 {
		slots = min(slots, time.Duration(q.limit))
	}
	if slots <= 0 {
		return 0
	}
	weights, all := q.weight, 0
	for _, o := range a.order {
		ahead := o.ahead(t.Class)
		all += ahead
		if o != q && ahead > 0 {
			weights += o.weight
		}
	}
	own := time.Duration(q.ahead(t.Class)) * a.service * time.Duration(weights) / (slots * time.Duration(q.weight))
	return min(own, time.Duration(all)*a.service/slots)
}

// Next returns the request that gets the next slot: urgent before normal
// before background, then the team that used the least for its weight.
// Free is the number of slots that are free on this node.
func (a *Admission) Next(now time.Duration, free int) (Ticket, bool) {
	a.decay(now)
	for _, class := range classOrder {
		for {
			q := a.neediest(int(class), free)
			if q == nil {
				break
			}
			t := q.waiting[class][0]
			q.waiting[class] = q.waiting[class][1:]
			a.waiting--
			if now+a.service > t.Deadline {
				a.shed = append(a.shed, t)
				continue
			}
			q.inFlight++
			q.recent = max(q.recent, q.inFlight)
			a.virtual = max(a.virtual, q.pass)
			q.pass += a.service / time.Duration(q.weight)
			return t, true
		}
	}
	return Ticket{}, false
}

func (a *Admission) neediest(class, free int) *teamQueue {
	var best *teamQueue
	for _, q := range a.order {
		if len(q.waiting[class]) == 0 || (q.limit > 0 && q.inFlight >= q.limit) || a.leavesHeadroom(q, free) {
			continue
		}
		if best == nil || q.pass < best.pass {
			best = q
		}
	}
	return best
}

// leavesHeadroom is true if a team above its share must leave the free slots
// to teams below theirs. Without it a team that floods takes every slot, and
// the next request of another team waits for one to end.
func (a *Admission) leavesHeadroom(q *teamQueue, free int) bool {
	weights := int64(0)
	for _, o := range a.order {
		if o == q || o.recent > 0 || !o.idle() {
			weights += o.weight
		}
	}
	share := func(o *teamQueue) int { return int(int64(a.capacity) * o.weight / weights) }
	if a.capacity == 0 || q.inFlight < share(q) {
		return false
	}
	kept := 0
	for _, o := range a.order {
		if o != q {
			kept += max(min(o.recent, share(o))-o.inFlight, 0)
		}
	}
	return free <= kept*a.options.HeadroomPercent/100
}

// decay lowers the recent use of teams, by a quarter a second.
func (a *Admission) decay(now time.Duration) {
	for _, q := range a.order {
		if now-q.decayed >= time.Second {
			q.decayed = now
			q.recent = max(q.inFlight, q.recent*3/4)
		}
	}
}

// TakeShed returns the requests that Next dropped because their deadline can
// no longer be met.
func (a *Admission) TakeShed() []Ticket {
	out := a.shed
	a.shed = nil
	return out
}

// Cancel removes a waiting request. It returns false if it does not wait.
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

// Done ends a request that Next returned. Took is its slot time; known is
// false if it says nothing about the usual slot time.
func (a *Admission) Done(t Ticket, took time.Duration, known bool) {
	q := a.teams[t.Team]
	if q == nil || q.inFlight == 0 {
		return
	}
	q.inFlight--
	q.pass += (took - a.service) / time.Duration(q.weight)
	if !known {
		return
	}
	if a.service == 0 {
		a.service = took
		return
	}
	a.service += (took - a.service) / latencyWeight
}
