package ownership

import (
	"slices"
	"time"
)

// round is one request for the confirmation of an outage to all peers.
type round struct {
	id     uint64
	sentAt time.Duration
	// members is the set that the sender knew when it asked.
	members   []string
	tokens    []ShardToken
	confirmed []confirmation
}

// confirmation is one peer's answer.
type confirmation struct {
	from       string
	superseded []ShardToken
}

// votes returns the number of members that confirmed a token, with the sender.
func (r *round) votes(t ShardToken) int {
	n := 1
	for _, c := range r.confirmed {
		if !slices.ContainsFunc(c.superseded, func(s ShardToken) bool { return s.Shard == t.Shard }) {
			n++
		}
	}
	return n
}

// add counts an answer once, and only from a member of the round's set.
func (r *round) add(self string, c confirmation) bool {
	if c.from == self || !slices.Contains(r.members, c.from) ||
		slices.ContainsFunc(r.confirmed, func(o confirmation) bool { return o.from == c.from }) {
		return false
	}
	r.confirmed = append(slices.Clone(r.confirmed), c)
	return true
}
