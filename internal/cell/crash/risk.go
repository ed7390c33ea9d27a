package crash

import (
	"math"
	"time"
)

const (
	// riskTimeConstant is the time after which a start or a crash counts for 1/e of what it
	// did at first.
	riskTimeConstant = 5 * time.Second
	// ForgetRiskAfter is how long after the last start nothing is known of a queue any
	// more. It bounds the queues that are remembered.
	ForgetRiskAfter = 20 * riskTimeConstant
	// minRiskCrashes is how many crashes a queue must have caused before its new
	// submissions are started with care.
	minRiskCrashes = 2
	// From the share RiskyShare of starts that crash their hosts on, a submission of the
	// queue starts one task first; from ConfinedShare on, its tasks are started only
	// alone on the few hosts for suspected tasks.
	RiskyShare    = 0.06
	ConfinedShare = 0.15
	// maxSharedCrashes is from how many trials that have crashed their hosts on the work of a
	// queue is not tried beside other runs.
	maxSharedCrashes = 0.5
)

// Risk is how often the tasks of a queue have crashed their hosts of late.
type Risk struct {
	Starts, Crashes float64
	// TrialCrashes counts the trials that have crashed their hosts likewise.
	TrialCrashes float64
	At           time.Duration
	// Down is how many hosts are down of which the queue's tasks are the suspected cause,
	// Unproven the number of submissions whose first tasks have not run for long enough,
	// and Preparing the number of those that may start one and wait for advice.
	Down                float64
	Unproven, Preparing int
}

// Add counts starts and crashes. A crash that several runs may have caused counts for
// each of them in part.
func (r *Risk) Add(starts, crashes float64, now time.Duration) {
	r.decay(now)
	r.Starts += starts
	r.Crashes = max(r.Crashes+crashes, 0)
}

// AddTrial counts trials that have crashed their hosts; they are negative if the hosts had not
// crashed after all.
func (r *Risk) AddTrial(crashes float64, now time.Duration) {
	r.decay(now)
	r.TrialCrashes = max(r.TrialCrashes+crashes, 0)
}

func (r *Risk) decay(now time.Duration) {
	f := math.Exp(-(now - r.At).Seconds() / riskTimeConstant.Seconds())
	r.Starts, r.Crashes, r.TrialCrashes, r.At = r.Starts*f, r.Crashes*f, r.TrialCrashes*f, now
}

// TrialsCrash reports whether trials have crashed their hosts of late.
func (r *Risk) TrialsCrash(now time.Duration) bool {
	r.decay(now)
	return r.TrialCrashes >= maxSharedCrashes
}

// Exceeds reports whether the share of starts that crashed their hosts is at least a
// given one.
func (r *Risk) Exceeds(share float64, now time.Duration) bool {
	if r.Crashes == 0 {
		return false
	}
	r.decay(now)
	return r.Crashes >= minRiskCrashes && r.Crashes >= share*r.Starts
}

// Share returns the share of starts that crashed their hosts.
func (r *Risk) Share() float64 { return r.Crashes / max(r.Starts, 1) }

// MayStartFirst reports whether one more submission of the queue may start its first task, in
// view of how many hosts may be crashed by such tasks at one time.
func (r *Risk) MayStartFirst(mostHosts int) bool {
	expected := r.Down + float64(r.Unproven+r.Preparing+1)*r.Share()
	return expected <= float64(mostHosts) || r.Unproven+r.Preparing == 0
}
