package ledger

import (
	"maps"
	"slices"
)

// ShardState is everything that the log tells about one shard at one offset.
type ShardState struct {
	// NextOffset is the offset of the first record that is not included.
	NextOffset uint64
	Claim      Claim
	// Hosts are sorted by id, Jobs by acceptance.
	Hosts []HostEntry
	Jobs  []Job
}

// ShardState returns the state of a shard as of one offset, so that a reader
// can go on with the events of later records.
func (r *Replica) ShardState(shard string) ShardState {
	return read(r, func(s *State) ShardState {
		out := ShardState{NextOffset: s.NextOffset, Claim: s.claimOf(shard)}
		for _, id := range slices.Sorted(maps.Keys(s.Hosts[shard])) {
			out.Hosts = append(out.Hosts, s.Hosts[shard][id])
		}
		out.Jobs = s.openJobsOf(shard)
		return out
	})
}

// AllotmentState is the part of a ShardState that concerns limits.
type AllotmentState struct {
	NextOffset uint64
	Claim      Claim
	// Allotments are sorted by limit.
	Allotments []Allotment
}

// AllotmentState returns the allotments of a shard as of one offset.
func (r *Replica) AllotmentState(shard string) AllotmentState {
	return read(r, func(s *State) AllotmentState {
		return AllotmentState{NextOffset: s.NextOffset, Claim: s.claimOf(shard), Allotments: s.allotmentsOf(shard)}
	})
}

// openJobsOf returns copies of the unfinished jobs of a shard, sorted by acceptance.
func (s *State) openJobsOf(shard string) []Job {
	jobs := make([]Job, 0, len(s.open[shard]))
	for _, id := range slices.Sorted(maps.Keys(s.open[shard])) {
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
