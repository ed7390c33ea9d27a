package admission

import (
	"sync"
	"time"
)

const (
	// MaxSummaryAge is the age of a summary from which nothing is refused on it.
	MaxSummaryAge = 2 * time.Second
	// newAllowance times the time that a submission may take is what a new one is let in with:
	// some of the work that comes before it is given up as late, and makes room. In the replay of
	// schedule at 14 times the usual load, 2 of 57 refused submissions would have ended in time
	// with 2; with 2.5, none of 113 at 14 to 30 times the load; with 3, nothing is refused.
	newAllowance = 2.5
	// returningAllowance is that of a submission that was refused before. So a returning caller
	// comes before newcomers: while the backlog falls, it is let in first.
	returningAllowance = 3.0
)

// Gate decides on the submissions that reach one node. It is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	returned refusedIDs
}

// Decide returns the refusal of a submission, nil if it is accepted. s is the last summary that
// this node has read of the present owner, nil if there is none, and age at least how long ago
// the owner computed it, on the clock of this node; negative if it is not known. now is on that clock too.
func (g *Gate) Decide(q Request, s *Summary, age, now time.Duration) *Refusal {
	if s == nil || age < 0 || age >= MaxSummaryAge || q.Latest <= 0 {
		return nil
	}
	wait, own := s.Wait(&q)
	wait = max(wait-age, 0) // what waited may have been served since at full rate
	g.mu.Lock()
	defer g.mu.Unlock()
	allowance := newAllowance
	if g.returned.has(q.ID, now) {
		allowance = returningAllowance
	}
	late := wait + q.Work - time.Duration(float64(q.Latest)*allowance)
	if wait == 0 || late <= 0 {
		return nil
	}
	return &Refusal{Own: own, Wait: wait, Late: late, RetryAfterSeconds: retryAfter(q.ID, late)}
}

// Refused records that a submission was refused, so that it comes before newcomers when it
// returns.
func (g *Gate) Refused(id string, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.returned.add(id, now)
}

// Accepted forgets a submission that was refused before. It reports whether there was one.
func (g *Gate) Accepted(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.returned.remove(id)
}

// Remembered returns how many refused submissions are remembered.
func (g *Gate) Remembered() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.returned.at)
}
