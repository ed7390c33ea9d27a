package hosthealth

import "time"

// Bounds of the backoff of a job that fails on several hosts.
const (
	// JobHostThreshold is the number of different hosts on which a job must fail
	// for the failures to be attributed to the job.
	JobHostThreshold = 3
	minBackoff       = time.Second
	maxBackoff       = 5 * time.Minute
)

// Backoff is the exponential backoff of a job whose tasks keep failing. The zero
// value is ready to use.
type Backoff struct {
	hosts     [JobHostThreshold]string
	hostCount int
	retries   int
}

// Failed records a failure on a host and returns the delay before the next attempt.
// It is zero while the job has failed on fewer than JobHostThreshold hosts.
func (b *Backoff) Failed(host string) time.Duration {
	known := false
	for _, h := range b.hosts[:b.hostCount] {
		known = known || h == host
	}
	if !known && b.hostCount < JobHostThreshold {
		b.hosts[b.hostCount] = host
		b.hostCount++
	}
	if !b.JobAtFault() {
		return 0
	}
	d := min(minBackoff<<min(b.retries, 16), maxBackoff)
	b.retries++
	return d
}

// JobAtFault reports whether the failures are attributed to the job, not to a
// host.
func (b *Backoff) JobAtFault() bool { return b.hostCount >= JobHostThreshold }

// Succeeded resets the backoff.
func (b *Backoff) Succeeded() { *b = Backoff{} }
