package admission

// Room is the room under the limit of a team, or on the hosts of a service.
type Room struct {
	Name string `json:"name"`
	// Free is what is not in use, negative if there is no limit; Waiting what all work needs that
	// waits for it.
	Free    Amounts `json:"free"`
	Waiting Amounts `json:"waiting"`
	// OnHost is the most that is free on one host, of each resource; absent for a team.
	OnHost *Amounts `json:"on_host,omitempty"`
}

// holds reports whether work may fit now, or in addition to all work that waits. It may be wrong
// only by reporting room that is in pieces too small for the work.
func (r *Room) holds(q *Request) bool {
	now, beside := true, true
	for i := range q.Demand {
		if r.Free[i] < 0 || q.Demand[i] == 0 {
			continue
		}
		now = now && q.Demand[i] <= r.Free[i] && (r.OnHost == nil || q.Largest[i] <= r.OnHost[i])
		beside = beside && q.Demand[i]+r.Waiting[i] <= r.Free[i]
	}
	return now || beside
}

// valid reports whether the room can be used.
func (r *Room) valid() bool {
	free := r.Free
	for i := range free {
		if free[i] == -1 {
			free[i] = 0
		}
	}
	return free.valid() && r.Waiting.valid() && (r.OnHost == nil || r.OnHost.valid())
}
