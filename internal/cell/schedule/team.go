package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// team is a client account and the resources that its runs use.
type team struct {
	name string
	// rate is the number of submissions per second to which the team is entitled;
	// zero means no limit.
	rate  float64
	limit resource.Vector
	used  resource.Vector
	// weight is that of the groups of its submissions.
	weight int
	// unknownUsage is the most that runs of earlier owners may use on hosts that have
	// not answered this owner; see updateUnknownUsage.
	unknownUsage resource.Vector
	// longRunning is the part of used that belongs to long-running tasks.
	longRunning resource.Vector
	// held is what this pass keeps of the limit for a gang ahead in the queue.
	held resource.Vector
	// urgentUsage is the part of used that belongs to queues of priority 0, and
	// urgentPeak is its recent peak.
	urgentUsage, urgentPeak resource.Vector
	urgentPeakAt            time.Duration
	// credit is how many submissions the team may still send without exceeding
	// its rate.
	credit   float64
	creditAt time.Duration
	// hasCredit is set once credit is valid.
	hasCredit bool
	// account holds the team's share, and owed its part of pool.owed; see divideShares.
	account *fairshare.Account
	owed    owedWork
	// spentUntil is until when account has been charged.
	spentUntil time.Duration
	// firstEntry, plus one, and lastEntry are the positions of its entries; see shareOrder.
	firstEntry, lastEntry int
}

// rateWindow is the time over which a team's rate is averaged.
const rateWindow = 5 * time.Second

// takeCredit takes the credit for one submission that arrived at a time. It reports
// false if the team has exceeded its rate. A new owner takes over many submissions
// at once, so the time of their arrival counts. Arrivals may be out of order by the
// difference between the clocks of two nodes.
func (t *team) takeCredit(arrived time.Duration) bool {
	if t.rate <= 0 {
		return true
	}
	maxCredit := t.rate * rateWindow.Seconds()
	if !t.hasCredit {
		t.hasCredit, t.credit, t.creditAt = true, maxCredit, arrived
	}
	if arrived > t.creditAt {
		t.credit = min(t.credit+t.rate*(arrived-t.creditAt).Seconds(), maxCredit)
		t.creditAt = arrived
	}
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// urgentPeakRetention is how long the peak of a team's urgent work is retained.
// At most the team's limit divided by urgentReserveDivisor is reserved for
// urgent work.
const (
	urgentPeakRetention  = 10 * time.Second
	urgentReserveDivisor = 4
)

// addUsage adds the size of a run to the team's usage; a negative sign subtracts
// it.
func (t *team) addUsage(size resource.Vector, urgent bool, sign int64, now time.Duration) {
	t.spend(now)
	t.used = t.used.Add(size.Scale(sign))
	if !urgent {
		return
	}
	t.urgentUsage = t.urgentUsage.Add(size.Scale(sign))
	if t.urgentUsage.MilliCPU >= t.urgentPeak.MilliCPU || now > t.urgentPeakAt+urgentPeakRetention {
		t.urgentPeak, t.urgentPeakAt = t.urgentUsage, now
	}
}

// spend charges the team's account for what it has used until now.
func (t *team) spend(now time.Duration) {
	if t.account != nil && now > t.spentUntil {
		t.account.Spend(fairshare.AmountsOf(t.used, 1), now-t.spentUntil)
	}
	t.spentUntil = max(t.spentUntil, now)
}

// beginPass clears what was kept of the limit, and forgets an old peak of urgent work.
func (t *team) beginPass(now time.Duration) {
	t.held = resource.Vector{}
	if now > t.urgentPeakAt+urgentPeakRetention {
		t.urgentPeak, t.urgentPeakAt = t.urgentUsage, now
	}
}

// holdLimit keeps a part of the team's limit from the work that comes after a gang of n
// tasks in the queue, so that the gang gets it once enough has ended. Nothing is kept if
// long-running tasks do not leave it enough, or another gang is ahead.
func (t *team) holdLimit(size resource.Vector, n int) {
	need := size.Scale(int64(n))
	if t.held != (resource.Vector{}) {
		return
	}
	for i := range resource.Dimensions {
		if limit := t.limit.At(i); limit != 0 && need.At(i) > limit-t.longRunning.At(i) {
			return
		}
	}
	t.held = need
}

// withoutHold calls f while nothing of the limit is kept, if less than half of it is in use.
func (t *team) withoutHold(f func()) {
	for i := range resource.Dimensions {
		if limit := t.limit.At(i); limit != 0 && t.used.At(i) >= limit/2 {
			f()
			return
		}
	}
	held := t.held
	t.held = resource.Vector{}
	f()
	if held != (resource.Vector{}) {
		t.held = held
	}
}

// tasksUnderLimit returns how many more tasks of a size the team may run. Work
// that is not urgent leaves a part of the limit free for the recent peak of urgent
// work, which would otherwise wait until long tasks end.
func (t *team) tasksUnderLimit(size resource.Vector, urgent bool) int {
	n := int64(1 << 20)
	for i := range resource.Dimensions {
		limit := t.limit.At(i)
		if limit == 0 || size.At(i) == 0 {
			continue
		}
		if !urgent && t.used != t.urgentUsage {
			limit -= min(max(t.urgentPeak.At(i)-t.urgentUsage.At(i), 0), limit/urgentReserveDivisor)
		}
		n = min(n, (limit-t.used.At(i)-t.unknownUsage.At(i)-t.held.At(i))/size.At(i))
	}
	return int(max(n, 0))
}
