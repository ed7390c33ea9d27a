package admission

import (
	"slices"
	"sort"
	"time"
)

// MaxLaxityBounds is the greatest number of laxity bounds of a backlog.
const MaxLaxityBounds = 16

// Backlog is the work that is placed before new work of one queue, by the laxity of the new work:
// within a rank, the work with the least laxity is placed first.
type Backlog struct {
	// Team is set for the work of one team under its limit, empty for that of all teams on the
	// hosts of the service.
	Team  string `json:"team,omitempty"`
	Queue string `json:"queue"`
	// Label is the label of the hosts that the work waits for; empty for any host. Only new work
	// that needs the same label waits for such work.
	Label string `json:"label,omitempty"`
	// Bounds are laxities in milliseconds, rising. Cores and Memory are, for each of them, how
	// long the work with at most that laxity keeps the limit, or all hosts of the service, in
	// use, in milliseconds; nil if there is room left of that resource.
	Bounds []int64 `json:"laxity"`
	Cores  []int64 `json:"cores,omitempty"`
	Memory []int64 `json:"memory,omitempty"`
}

// waitAt returns how long the work that comes before new work of a laxity keeps a resource in use.
func (b *Backlog) waitAt(laxity time.Duration, resource int) time.Duration {
	waits := b.waits(resource)
	n := sort.Search(len(b.Bounds), func(i int) bool { return b.Bounds[i] > laxity.Milliseconds() })
	if n == 0 || len(waits) == 0 {
		return 0
	}
	return time.Duration(waits[n-1]) * time.Millisecond
}

func (b *Backlog) waits(resource int) []int64 {
	if resource == Cores {
		return b.Cores
	}
	return b.Memory
}

// Longest returns the longest wait, in milliseconds: that of new work with the greatest laxity.
func (b *Backlog) Longest() (ms int64) {
	for _, waits := range [][]int64{b.Cores, b.Memory} {
		if n := len(waits); n > 0 {
			ms = max(ms, waits[n-1])
		}
	}
	return ms
}

// valid reports whether the backlog can be used.
func (b *Backlog) valid() bool {
	n := len(b.Bounds)
	ok := n > 0 && n <= MaxLaxityBounds && slices.IsSorted(b.Bounds) && b.Bounds[0] >= 0
	for _, waits := range [][]int64{b.Cores, b.Memory} {
		ok = ok && (len(waits) == 0 || len(waits) == n && slices.IsSorted(waits) && waits[0] >= 0 && waits[n-1] <= maxWait.Milliseconds())
	}
	return ok
}
