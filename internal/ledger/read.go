package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// NextOffset returns the offset of the next record to be applied.
func (r *Replica) NextOffset() uint64 {
	return readLocked(r, func(s *State) uint64 { return s.NextOffset })
}

// Status returns a summary of the state.
func (r *Replica) Status() Status {
	return readLocked(r, func(s *State) Status {
		return Status{
			NextOffset: s.NextOffset, Revision: s.Config.Revision, Objects: len(s.Config.Objects),
			Members: len(s.Ownership.Members()), Joins: s.JoinCount, Shards: len(s.Ownership.Shards()), Limits: len(s.Limits),
			OpenJobs: s.openJobCount, FinishedJobs: len(s.FinishedJobs), SnapshotOffset: s.SnapshotProgress.NextOffset,
		}
	})
}

// Ownership returns the members and the ownership of shards, as far as the
// ownership rules need them. The caller must not change the result.
func (r *Replica) Ownership() ownership.State {
	return readLocked(r, func(s *State) ownership.State { return s.Ownership.State() })
}

// Configuration returns the current configuration.
func (r *Replica) Configuration() Configuration {
	return readLocked(r, func(s *State) Configuration {
		return Configuration{s.Config.Revision, s.Config.sorted}
	})
}

// Members returns the members, sorted by node name.
func (r *Replica) Members() []Member {
	return readLocked(r, (*State).members)
}

// Member returns a member by node name.
func (r *Replica) Member(node string) (m Member, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.member(node)
}

// Claim returns the current claim of a shard. Its token is zero if the shard was
// never claimed.
func (r *Replica) Claim(shard string) Claim {
	return readLocked(r, func(s *State) Claim { return s.claimOf(shard) })
}

// Claims returns the current claims of all shards, sorted by shard name.
func (r *Replica) Claims() []Claim {
	return readLocked(r, (*State).claims)
}

// Hosts returns the host entries of a shard, sorted by id.
func (r *Replica) Hosts(shard string) []HostEntry {
	return readLocked(r, func(s *State) []HostEntry {
		hosts := make([]HostEntry, 0, len(s.Hosts[shard]))
		for _, id := range slices.Sorted(maps.Keys(s.Hosts[shard])) {
			hosts = append(hosts, s.Hosts[shard][id])
		}
		return hosts
	})
}

// Job returns a job that is unfinished or among the last MaxFinishedJobs finished
// ones.
func (r *Replica) Job(id work.JobID) (job Job, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if found := r.state.Jobs[id]; found != nil {
		return found.clone(), true
	}
	return Job{}, false
}

// OpenJobs returns copies of the unfinished jobs that have a part in a shard, in
// the order in which they were accepted. Its cost grows with the size of these
// jobs.
func (r *Replica) OpenJobs(shard string) []Job {
	return readLocked(r, func(s *State) []Job { return s.openJobsOf(shard) })
}

// Allotments returns the allotments of a shard, sorted by limit. For an empty
// shard name, Units is zero and Pool and Total are set.
func (r *Replica) Allotments(shard string) []Allotment {
	return readLocked(r, func(s *State) []Allotment { return s.allotmentsOf(shard) })
}

// Allotment returns the allotment of a shard under one limit. Its numbers are
// zero if there is no such limit.
func (r *Replica) Allotment(name, shard string) Allotment {
	return readLocked(r, func(s *State) Allotment {
		l := s.Limits[name]
		if l == nil {
			return Allotment{Limit: name}
		}
		return Allotment{name, l.Shards[shard], l.Pool, l.Total}
	})
}

// LastBatch identifies the last batch of a node that was applied. All results
// are zero if none is known.
func (r *Replica) LastBatch(node string) (incarnation, sequence, offset uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if last := r.state.Senders[node]; last != nil {
		return last.Incarnation, last.Sequence, last.Offset
	}
	return 0, 0, 0
}

func readLocked[T any](r *Replica, f func(*State) T) T {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return f(r.state)
}
