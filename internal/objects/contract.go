package objects

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// Contract converts the part of s that a scheduler needs.
func (s *Set) Contract(revision uint64) scheduler.Contract {
	out := scheduler.Contract{
		Revision: revision,
		Teams:    make(map[string]scheduler.Team, len(s.Teams)),
		Queues:   make(map[string]scheduler.Queue, len(s.Queues)),
		Limits:   make(map[string]scheduler.Limit, len(s.Limits)),
		Policy:   s.Policy().contract(),
	}
	for name, t := range s.Teams {
		out.Teams[name] = scheduler.Team{Name: name, Weight: s.Shares[t.Share].Weight, Limit: t.Limit}
	}
	for name, q := range s.Queues {
		out.Queues[name] = scheduler.Queue{Name: name, Priority: int(q.Priority)}
	}
	for name := range s.Limits {
		unit, count, vector, _ := s.limitSize(name)
		out.Limits[name] = scheduler.Limit{Name: name, Units: count, UnitName: unit, Unit: vector}
	}
	return out
}

// Contract decodes and validates objects and converts them for a scheduler. The
// error is Faults.
func Contract(list []Object, revision uint64) (scheduler.Contract, error) {
	set, err := NewSet(list)
	if err != nil {
		return scheduler.Contract{}, err
	}
	return set.Contract(revision), nil
}

// LimitUnits returns the value of each limit, in units of that limit, by name.
func (s *Set) LimitUnits() map[string]int64 {
	out := make(map[string]int64, len(s.Limits))
	for name := range s.Limits {
		_, count, _, _ := s.limitSize(name)
		out[name] = count
	}
	return out
}

// Policy returns the published policy, or the default if none is published.
func (s *Set) Policy() Policy {
	if p, ok := s.Policies[PolicyName]; ok {
		return p
	}
	return DefaultPolicy()
}

// TeamNames returns the names of all teams in alphabetical order.
func (s *Set) TeamNames() []string { return slices.Sorted(maps.Keys(s.Teams)) }
