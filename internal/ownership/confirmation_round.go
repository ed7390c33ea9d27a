package ownership

import (
	"slices"
	"time"
)

// round is one request to all peers to confirm an outage.
type round struct {
	id     uint64
	sentAt time.Duration
	// members is the member set that the sender knew when it sent the request.
	members       []string
	tokens        []ShardToken
	confirmations []confirmation
}

// confirmation is a peer's confirmation of an outage. It does not cover the
// shards in superseded.
type confirmation struct {
	from       string
	superseded []ShardToken
}

// confirmationCount returns the number of members that confirmed a token,
// including the sender.
func (r *round) confirmationCount(t ShardToken) int {
	n := 1
	for _, c := range r.confirmations {
		if !slices.ContainsFunc(c.superseded, func(s ShardToken) bool { return s.Shard == t.Shard }) {
			n++
		}
	}
	return n
}

// add records a confirmation and reports whether it is new. It ignores answers
// from nodes outside the round's member set.
func (r *round) add(self string, c confirmation) bool {
	if c.from == self || !slices.Contains(r.members, c.from) ||
		slices.ContainsFunc(r.confirmations, func(o confirmation) bool { return o.from == c.from }) {
		return false
	}
	r.confirmations = append(slices.Clone(r.confirmations), c)
	return true
}
