package cell

import "time"

// AdviceRoom is how many more advice calls can be made at present. Long calls are
// counted apart, so that short ones do not wait behind them.
type AdviceRoom struct {
	Short, Long int
	// LongFrom is the duration from which a call counts as long.
	LongFrom time.Duration
	// Nodes is the number of nodes that make calls; zero if it is not known.
	Nodes int
}

// Has reports whether there is room for a call that takes a time.
func (r *AdviceRoom) Has(d time.Duration) bool { return *r.of(d) > 0 }

// Take uses the room of a call that takes a time.
func (r *AdviceRoom) Take(d time.Duration) { *r.of(d)-- }

// GiveBack returns the room of a call that takes a time.
func (r *AdviceRoom) GiveBack(d time.Duration) { *r.of(d)++ }

func (r *AdviceRoom) of(d time.Duration) *int {
	if d >= r.LongFrom {
		return &r.Long
	}
	return &r.Short
}
