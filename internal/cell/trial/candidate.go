package trial

import (
	"cmp"
	"slices"
	"time"
)

// AgedInterval says that one in AgedInterval trials goes to the suspect that has waited longest.
const AgedInterval = 4

// Candidate is work that waits for a trial.
type Candidate[W any] struct {
	Work W
	// Blame is how much the crashes under its submission speak against it.
	Blame float64
	// Suspected is set unless only its queue is confined.
	Suspected bool
	Wait      *Wait
}

// Order returns work in the order in which hosts are kept free for it, after a number of
// trials: what is least likely to crash a host comes first, but one in AgedInterval trials goes
// to the suspect that has waited longest, so that each has its turn. The wait of suspects
// begins with it.
func Order[W any](list []Candidate[W], trials int, now time.Duration) []W {
	var oldest *Wait
	for _, c := range list {
		if !c.Suspected {
			continue
		}
		c.Wait.Begin(now)
		if oldest == nil || c.Wait.Since < oldest.Since {
			oldest = c.Wait
		}
	}
	slices.SortStableFunc(list, func(a, b Candidate[W]) int { return cmp.Compare(a.Blame, b.Blame) })
	i := slices.IndexFunc(list, func(c Candidate[W]) bool { return c.Wait == oldest })
	if i > 0 && trials%AgedInterval == 0 {
		aged := list[i]
		list = slices.Insert(slices.Delete(list, i, i+1), 0, aged)
	}
	out := make([]W, len(list))
	for i, c := range list {
		out[i] = c.Work
	}
	return out
}

// Turn returns the work for which hosts are chosen in one decision: all of it, or at most some.
// Half of these are the first ones, the others take turns; last is how many have had theirs.
func Turn[W any](order []W, most int, last *int) []W {
	if len(order) <= most {
		return order
	}
	head, rest := order[:most/2:most/2], order[most/2:]
	from := *last % len(rest)
	to := min(from+most-len(head), len(rest))
	*last = to
	return append(head, rest[from:to]...)
}
