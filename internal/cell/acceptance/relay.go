package acceptance

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// slowThreshold is the time of an answer of the store from which it counts as slow.
const slowThreshold = 150 * time.Millisecond

// IsSlow reports whether a store that takes so long for an answer is slow.
func IsSlow(answerTime time.Duration) bool { return answerTime >= slowThreshold }

// RelayInput is what RelayTarget decides on.
type RelayInput struct {
	// Self is the name of this node, Owner that of the owner of the cell.
	Self, Owner string
	// Followers are the names of the live nodes that follow the work topic.
	Followers []string
	// AnswerTime is how long the store takes to answer this node at present.
	AnswerTime time.Duration
}

// RelayTarget returns the node through which this node appends the records of callers,
// or an empty string if it appends them itself. At a slow store all followers choose
// the same node, so that records of all callers share few large appends. The owner is
// not chosen, since it has the most to do.
func RelayTarget(v RelayInput) string {
	if !IsSlow(v.AnswerTime) {
		return ""
	}
	candidates := slices.DeleteFunc(slices.Clone(v.Followers), func(name string) bool { return name == v.Owner })
	if len(candidates) == 0 {
		return ""
	}
	target := slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a, b))
	})
	if target == v.Self {
		return ""
	}
	return target
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("relay/" + name)) // Write of a hash never returns an error
	return h.Sum64()
}
