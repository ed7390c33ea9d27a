package trial

import "time"

const (
	// MaxIdleHostWait is how long a suspect waits for hosts without other runs. After that it may be
	// tried beside runs that have started more than crash.Window before, unless trials of its
	// queue have crashed their hosts of late.
	MaxIdleHostWait = time.Second
	// maxSoonEmptyWait is how long the first suspect in line waits for hosts that are empty soon,
	// while others take them.
	maxSoonEmptyWait = 3 * time.Second
	// maxEmptyHostWait is how long no host was chosen for work under trial until hosts are
	// chosen that are empty later.
	maxEmptyHostWait = 500 * time.Millisecond
)

// Wait is the wait of a suspect for its trial.
type Wait struct {
	// Since is when it began; zero if the suspect does not wait.
	Since time.Duration
	// TooWide is set for work that is not tried alone, since it would need more hosts than a
	// trial may hold; NotTried if that showed only while it was awaiting them, or others hold
	// them.
	TooWide, NotTried bool
}

// Begin begins the wait unless it has begun.
func (w *Wait) Begin(now time.Duration) {
	if w.Since == 0 {
		w.Since = now
	}
}

// Long reports whether a suspect has waited for long.
func (w *Wait) Long(now time.Duration) bool { return w.Since != 0 && now >= w.Since+MaxIdleHostWait }

// Requeue puts a suspect that waits to the end of the line.
func (w *Wait) Requeue(now time.Duration) {
	if w.Since != 0 {
		w.Since = now
	}
}

// GivesUp reports whether a suspect that might share hosts is started like other work, since no
// hosts for its trial were found for very long.
func (w *Wait) GivesUp(now time.Duration) bool {
	return !w.NotTried && now >= w.Since+2*MaxIdleHostWait
}

// MayAwaitHosts reports whether hosts that are empty only later may be kept free: for work of
// confined queues, and for the first suspect in line, if no host was chosen for a while or the
// suspect has waited for very long.
func (w *Wait) MayAwaitHosts(first, suspected bool, lastChosen, now time.Duration) bool {
	if now >= lastChosen+maxEmptyHostWait {
		return first || !suspected
	}
	return first && now >= w.Since+maxSoonEmptyWait
}
