package ledger

import (
	"maps"
	"slices"
)

// ShardState is the state of one shard at one offset.
type ShardState struct {
	// NextOffset is the offset of the first record that is not included.
	NextOffset uint64
	Claim      Claim
	// Hosts are sorted by id. Jobs are the unfinished jobs with a part in the
	// shard, in the order in which they were accepted.
	Hosts []HostEntry
	Jobs  []Job
}

// ShardState returns the state of a shard at the current offset. Everything in it
// is from the same offset, so the caller can follow later changes by the events
// of records from NextOffset on.
func (r *Replica) ShardState(shard string) ShardState {
	return readLocked(r, func(s *State) ShardState {
		out := ShardState{NextOffset: s.NextOffset, Claim: s.claimOf(shard)}
		for _, id := range slices.Sorted(maps.Keys(s.Hosts[shard])) {
			out.Hosts = append(out.Hosts, s.Hosts[shard][id])
		}
		out.Jobs = s.openJobsOf(shard)
		return out
	})
}

// AllotmentState is the owner of a shard and its allotments at one offset.
type AllotmentState struct {
	NextOffset uint64
	Claim      Claim
	// Allotments are sorted by limit.
	Allotments []Allotment
}

// AllotmentState returns the allotments of a shard at the current offset.
func (r *Replica) AllotmentState(shard string) AllotmentState {
	return readLocked(r, func(s *State) AllotmentState {
		return AllotmentState{NextOffset: s.NextOffset, Claim: s.claimOf(shard), Allotments: s.allotmentsOf(shard)}
	})
}

// openJobsOf returns copies of the unfinished jobs of a shard, in the order in
// which they were accepted.
func (s *State) openJobsOf(shard string) []Job {
	jobs := make([]Job, 0, len(s.openByShard[shard]))
	for _, id := range slices.Sorted(maps.Keys(s.openByShard[shard])) {
		jobs = append(jobs, s.Jobs[id].clone())
	}
	slices.SortStableFunc(jobs, func(a, b Job) int {
		if a.Accepted < b.Accepted {
			return -1
		} else if a.Accepted > b.Accepted {
			return 1
		}
		return 0
	})
	return jobs
}

// allotmentsOf returns the allotments of a shard, sorted by limit.
func (s *State) allotmentsOf(shard string) []Allotment {
	allotments := make([]Allotment, 0, len(s.Limits))
	for _, name := range slices.Sorted(maps.Keys(s.Limits)) {
		l := s.Limits[name]
		allotments = append(allotments, Allotment{name, l.Shards[shard], l.Pool, l.Total})
	}
	return allotments
}
