package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// clone returns a copy for Snapshot that shares nothing mutable with s. It has
// no indexes and applies no records.
func (s *State) clone() *State {
	c := *s
	c.open = nil
	c.Senders = cloneEach(s.Senders)
	c.Book = s.Book.Clone()
	c.Details = maps.Clone(s.Details)
	c.Ended = slices.Clone(s.Ended)
	c.Config.Objects = maps.Clone(s.Config.Objects)
	c.Config.Withdrawn = maps.Clone(s.Config.Withdrawn)
	c.Config.Verdicts = maps.Clone(s.Config.Verdicts)
	c.Config.Judged = slices.Clone(s.Config.Judged)
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
