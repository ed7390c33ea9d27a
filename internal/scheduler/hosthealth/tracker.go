// Package hosthealth distinguishes hosts that fail the tasks of several jobs, which
// are put into quarantine, from jobs that fail on several hosts, which back off.
// It never stops or places a task itself.
package hosthealth

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Tracker counts the consecutive failures of each host and records which hosts are
// in quarantine. Its size is bounded by the number of hosts.
type Tracker struct {
	hosts       map[string]*hostRecord
	quarantined int
}

type hostRecord struct {
	failures    int
	firstJob    work.JobID
	severalJobs bool
	quarantined bool
	probationAt time.Duration
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{hosts: map[string]*hostRecord{}} }

// Failed counts a failed task and reports whether the host was put into quarantine
// by this failure. For a host in quarantine the time until probation starts again.
// hostCount is the number of all hosts. Never more than MaxPercent of them are in
// quarantine, but one host always may be.
func (t *Tracker) Failed(host string, job work.JobID, now time.Duration, p Policy, hostCount int) bool {
	r := t.hosts[host]
	if r == nil {
		r = &hostRecord{firstJob: job}
		t.hosts[host] = r
	}
	r.failures++
	r.severalJobs = r.severalJobs || job != r.firstJob
	if r.quarantined {
		r.probationAt = now + p.ProbationAfter
		return false
	}
	if r.failures < p.Failures || !r.severalJobs || t.quarantined >= max(1, hostCount*p.MaxPercent/100) {
		return false
	}
	r.quarantined, r.probationAt = true, now+p.ProbationAfter
	t.quarantined++
	return true
}

// Succeeded resets the count of failures and ends the quarantine of a host.
func (t *Tracker) Succeeded(host string) { t.Forget(host) }

// Forget removes the state of a host.
func (t *Tracker) Forget(host string) {
	if r := t.hosts[host]; r != nil && r.quarantined {
		t.quarantined--
	}
	delete(t.hosts, host)
}

// Quarantined reports whether the host is in quarantine, and the time from which it
// may run one task at a time on probation.
func (t *Tracker) Quarantined(host string) (probationAt time.Duration, quarantined bool) {
	if r := t.hosts[host]; r != nil && r.quarantined {
		return r.probationAt, true
	}
	return 0, false
}

// Count returns the number of hosts in quarantine.
func (t *Tracker) Count() int { return t.quarantined }
