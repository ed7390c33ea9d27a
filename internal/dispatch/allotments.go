package dispatch

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// SetContract replaces the published contract, the teams, queues and limits that
// the scheduler applies.
func (s *Shard) SetContract(c scheduler.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contract = c
	s.apply(scheduler.ContractChanged{Contract: c})
	s.updateAllotments()
	s.requestDecision()
}

// SetAllotments replaces the number of contract units that this shard may use of
// each limit.
func (s *Shard) SetAllotments(units map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allottedUnits = units
	s.updateAllotments()
	s.requestDecision()
}

// updateAllotments passes the usable units of each limit to the scheduler. Tasks
// of held jobs may run on hosts that are not adopted yet, so their units are
// subtracted. s.mu must be held.
func (s *Shard) updateAllotments() {
	units := make(map[string]int64, len(s.allottedUnits))
	held := s.heldUnits()
	for limit, n := range s.allottedUnits {
		units[limit] = max(0, n-held[limit])
	}
	s.apply(scheduler.AllotmentsChanged{Units: units})
}

// heldUnits returns, per limit, an upper bound for the units that held jobs may
// be using on hosts that are not adopted. s.mu must be held.
func (s *Shard) heldUnits() map[string]int64 {
	held := map[string]int64{}
	for _, h := range s.heldJobs {
		for _, part := range h.parts {
			limit := s.contract.Limits[s.contract.Teams[part.Job.Team].Limit]
			cost, _ := part.Job.Size.UnitsNeeded(limit.Unit)
			held[limit.Name] += cost * int64(part.Count)
		}
	}
	var capacity resource.Vector
	for id := range s.unadopted {
		if h := s.hosts[id]; h != nil {
			capacity = capacity.Add(h.entry.Capacity)
		}
	}
	for name, units := range held {
		held[name] = min(units, maxUnits(capacity, s.contract.Limits[name].Unit))
	}
	return held
}

// maxUnits returns the largest number of units that tasks with the given total
// amount of resources can cost. The cost of a task may come from any single
// resource, so the units of all resources are added up.
func maxUnits(amount, unit resource.Vector) int64 {
	var sum int64
	for i := range resource.Dimensions {
		if perUnit := unit.At(i); perUnit > 0 {
			sum += (amount.At(i) + perUnit - 1) / perUnit
		}
	}
	return sum
}
