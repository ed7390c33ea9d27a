package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// NextOffset returns the offset of the next record to apply.
func (r *Replica) NextOffset() uint64 {
	return read(r, func(s *State) uint64 { return s.NextOffset })
}

// Status returns a summary of the state.
func (r *Replica) Status() Status {
	return read(r, func(s *State) Status {
		return Status{
			NextOffset: s.NextOffset, Revision: s.Config.Revision, Objects: len(s.Config.Objects),
			Members: len(s.Book.Members()), Joins: s.Joins, Shards: len(s.Book.Shards()), Limits: len(s.Limits),
			OpenJobs: s.openJobs, FinishedJobs: len(s.Ended), SnapshotOffset: s.Snapshots.Covers,
		}
	})
}

// Ownership returns what the rules of ownership need to know. The caller must
// not change it.
func (r *Replica) Ownership() ownership.State {
	return read(r, func(s *State) ownership.State { return s.Book.State() })
}

// Configuration returns the configuration in force.
func (r *Replica) Configuration() Configuration {
	return read(r, func(s *State) Configuration {
		return Configuration{s.Config.Revision, s.Config.sorted}
	})
}

// Members returns the members, sorted by name.
func (r *Replica) Members() []Member {
	return read(r, (*State).members)
}

// Member returns a member by name.
func (r *Replica) Member(node string) (m Member, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.member(node)
}

// Claim returns the claim in force of a shard; its token is zero if the shard
// was never claimed.
func (r *Replica) Claim(shard string) Claim {
	return read(r, func(s *State) Claim { return s.claimOf(shard) })
}

// Claims returns the claims of all shards, sorted by shard.
func (r *Replica) Claims() []Claim {
	return read(r, (*State).claims)
}

// Hosts returns the workers of a shard, sorted by id.
func (r *Replica) Hosts(shard string) []HostEntry {
	return read(r, func(s *State) []HostEntry {
		hosts := make([]HostEntry, 0, len(s.Hosts[shard]))
		for _, id := range slices.Sorted(maps.Keys(s.Hosts[shard])) {
			hosts = append(hosts, s.Hosts[shard][id])
		}
		return hosts
	})
}

// Job returns a job that is unfinished or among the last finished ones.
func (r *Replica) Job(id work.JobID) (job Job, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if found := r.state.Jobs[id]; found != nil {
		return found.clone(), true
	}
	return Job{}, false
}

// OpenJobs returns the unfinished jobs that have a part in a shard, sorted by
// acceptance. The cost is that of copying these jobs.
func (r *Replica) OpenJobs(shard string) []Job {
	return read(r, func(s *State) []Job { return s.openJobsOf(shard) })
}

// Allotments returns the allotments of a shard, sorted by limit. The empty
// shard name gives zero units and the pools.
func (r *Replica) Allotments(shard string) []Allotment {
	return read(r, func(s *State) []Allotment { return s.allotmentsOf(shard) })
}

// Allotment returns the allotment of a shard under one limit; it is zero if
// there is no such limit.
func (r *Replica) Allotment(name, shard string) Allotment {
	return read(r, func(s *State) Allotment {
		l := s.Limits[name]
		if l == nil {
			return Allotment{Limit: name}
		}
		return Allotment{name, l.Shards[shard], l.Pool, l.Total}
	})
}

// LastBatch returns the last batch of a node that was applied.
func (r *Replica) LastBatch(node string) (incarnation, sequence, offset uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if last := r.state.Senders[node]; last != nil {
		return last.Incarnation, last.Sequence, last.Offset
	}
	return 0, 0, 0
}

func read[T any](r *Replica, f func(*State) T) T {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return f(r.state)
}
