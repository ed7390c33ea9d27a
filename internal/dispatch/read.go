package dispatch

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Summary returns the scheduler's totals of the shard.
func (s *Dispatcher) Summary() scheduler.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Summary()
}

// Tasks returns the states of the tasks of a job in this shard.
func (s *Dispatcher) Tasks(id work.JobID) []scheduler.TaskStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.Tasks(id)
}

// Explain returns the reasons why tasks of a job wait in this shard.
func (s *Dispatcher) Explain(id work.JobID) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.withheldJobs[id]; h != nil {
		return []string{"Tasks that the previous owner of the shard started may still run; the job waits until all hosts of that owner have reported their tasks or its leases have expired."}
	}
	return s.sched.Explain(id, s.o.Clock())
}

// HighestAttempt returns the highest attempt number that the shard has used.
func (s *Dispatcher) HighestAttempt() int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestAttempt
}

// Cancel cancels the tasks of a job, including those that are still withheld.
func (s *Dispatcher) Cancel(id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.withheldJobs[id]; h != nil {
		h.cancelled = true
	}
	s.apply(scheduler.JobCancelled{Job: id})
	s.requestDecision()
}

// RemovedHosts returns, sorted by ID, the hosts that were permanently removed
// and are still in the logged host set. The hosts are not dropped by the call;
// SetHosts does so once its entries no longer contain them.
func (s *Dispatcher) RemovedHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.removedHosts))
	for id := range s.removedHosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Dump is a snapshot of the shard's state for operators.
type Dump struct {
	Shard     string         `json:"shard"`
	Token     uint64         `json:"token"`
	Fenced    bool           `json:"fenced"`
	Draining  bool           `json:"draining"`
	Hosts     []HostDump     `json:"hosts"`
	HeldJobs  int            `json:"held_jobs"`
	Unlogged  int            `json:"unlogged_outcomes"`
	Reports   int            `json:"unacknowledged_reports"`
	Scheduler scheduler.Dump `json:"scheduler"`
}

// HostDump is a snapshot of the owner's state for one host.
type HostDump struct {
	ID         string `json:"id"`
	Adopted    bool   `json:"adopted"`
	Failures   int    `json:"failures"`
	Attempts   int    `json:"attempts"`
	Queued     int    `json:"queued_starts"`
	Leaving    bool   `json:"leaving"`
	SinceHeard string `json:"since_heard"`
}

// Dump returns a snapshot of the state of the shard.
func (s *Dispatcher) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Shard: s.o.Shard, Token: s.o.Token, Fenced: s.fenced, Draining: s.draining,
		HeldJobs: len(s.withheldJobs), Unlogged: len(s.unloggedOutcomes), Reports: len(s.reports), Scheduler: s.sched.Dump(),
	}
	now := s.o.Clock()
	for _, h := range s.hosts {
		d.Hosts = append(d.Hosts, HostDump{
			ID: h.entry.ID, Adopted: h.adopted, Failures: h.failures, Attempts: len(h.attempts),
			Queued: len(h.starts), Leaving: h.leaving || h.entry.Leaving, SinceHeard: (now - h.lastHeard).String(),
		})
	}
	slices.SortFunc(d.Hosts, func(a, b HostDump) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return d
}
