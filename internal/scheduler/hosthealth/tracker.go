// Package hosthealth tells hosts that fail every task from jobs that fail on
// every host.
package hosthealth

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Tracker keeps the failures in a row of each host and which hosts are in
// quarantine. It is bounded by the number of hosts.
type Tracker struct {
	hosts       map[string]*record
	quarantined int
}

type record struct {
	failures int
	first    work.JobID
	mixed    bool
	out      bool
	until    time.Duration
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{hosts: map[string]*record{}} }

// Failed counts a failed task and reports whether the host was put into
// quarantine now. A host in quarantine that fails again starts a new term.
// fleet is the number of hosts; quarantine never exceeds maxPercent of it, but
// may always hold one host.
func (t *Tracker) Failed(host string, job work.JobID, now time.Duration, p Policy, fleet int) bool {
	r := t.hosts[host]
	if r == nil {
		r = &record{first: job}
		t.hosts[host] = r
	}
	r.failures++
	r.mixed = r.mixed || job != r.first
	if r.out {
		r.until = now + p.ProbationAfter
		return false
	}
	if r.failures < p.Failures || !r.mixed || t.quarantined >= max(1, fleet*p.MaxPercent/100) {
		return false
	}
	r.out, r.until = true, now+p.ProbationAfter
	t.quarantined++
	return true
}

// Succeeded ends the row of failures and the quarantine of a host.
func (t *Tracker) Succeeded(host string) { t.Forget(host) }

// Forget drops what is known about a host.
func (t *Tracker) Forget(host string) {
	if r := t.hosts[host]; r != nil && r.out {
		t.quarantined--
	}
	delete(t.hosts, host)
}

// Quarantined reports whether the host is in quarantine, and from when on it
// may try one task at a time.
func (t *Tracker) Quarantined(host string) (until time.Duration, out bool) {
	if r := t.hosts[host]; r != nil && r.out {
		return r.until, true
	}
	return 0, false
}

// Count returns the number of hosts in quarantine.
func (t *Tracker) Count() int { return t.quarantined }
