package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// clone returns a copy of s to be encoded by Snapshot. It shares no mutable data
// with s. It has no indexes, so records must not be applied to it.
func (s *State) clone() *State {
	c := *s
	c.openByShard = nil
	c.Senders = cloneEach(s.Senders)
	c.Ownership = s.Ownership.Clone()
	c.MemberDetails = maps.Clone(s.MemberDetails)
	c.FinishedJobs = slices.Clone(s.FinishedJobs)
	c.Config.Objects = maps.Clone(s.Config.Objects)
	c.Config.Withdrawn = maps.Clone(s.Config.Withdrawn)
	c.Config.Results = maps.Clone(s.Config.Results)
	c.Config.ResultIDs = slices.Clone(s.Config.ResultIDs)
	c.Limits = make(map[string]*limit, len(s.Limits))
	for name, l := range s.Limits {
		c.Limits[name] = &limit{l.Total, l.Pool, maps.Clone(l.Shards)}
	}
	c.Hosts = make(map[string]map[string]HostEntry, len(s.Hosts))
	for shard, hosts := range s.Hosts {
		c.Hosts[shard] = maps.Clone(hosts)
	}
	c.Jobs = make(map[work.JobID]*Job, len(s.Jobs))
	for id, job := range s.Jobs {
		j := job.clone()
		c.Jobs[id] = &j
	}
	return &c
}

func cloneEach[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for key, value := range m {
		v := *value
		c[key] = &v
	}
	return c
}
