package hosthealth

import "time"

// Bounds of the wait of a job that fails on several hosts.
const (
	// JobHosts is the number of different hosts after which the job is blamed.
	JobHosts   = 3
	minBackoff = time.Second
	maxBackoff = 5 * time.Minute
)

// Backoff tells how long a job that keeps failing waits. The zero value is ready.
type Backoff struct {
	hosts [JobHosts]string
	n     int
	times int
}

// Failed notes a failure on host and returns the wait before the next try,
// zero while fewer than JobHosts hosts have failed the job.
func (b *Backoff) Failed(host string) time.Duration {
	known := false
	for _, h := range b.hosts[:b.n] {
		known = known || h == host
	}
	if !known && b.n < JobHosts {
		b.hosts[b.n] = host
		b.n++
	}
	if !b.Blamed() {
		return 0
	}
	d := min(minBackoff<<min(b.times, 16), maxBackoff)
	b.times++
	return d
}

// Blamed reports whether the job rather than a host is at fault.
func (b *Backoff) Blamed() bool { return b.n >= JobHosts }

// Succeeded resets b.
func (b *Backoff) Succeeded() { *b = Backoff{} }
