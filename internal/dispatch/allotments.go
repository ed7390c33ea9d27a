package dispatch

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// SetContract replaces the published contract, the teams, queues and limits that
// the scheduler applies.
func (s *Dispatcher) SetContract(c scheduler.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contract = c
	s.apply(scheduler.ContractChanged{Contract: c})
	s.updateAllotments()
	s.requestDecision()
}

// SetAllotments replaces the number of units that this shard may use of each
// limit.
func (s *Dispatcher) SetAllotments(units map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allottedUnits = units
	s.updateAllotments()
	s.requestDecision()
}

// updateAllotments passes the usable units of each limit to the scheduler. Tasks
// of withheld jobs may run on hosts that are not adopted yet, so their units are
// subtracted. s.mu must be held.
func (s *Dispatcher) updateAllotments() {
	units := make(map[string]int64, len(s.allottedUnits))
	withheld := s.withheldUnits()
	for limit, n := range s.allottedUnits {
		units[limit] = max(0, n-withheld[limit])
	}
	s.apply(scheduler.AllotmentsChanged{Units: units})
}

// withheldUnits returns, per limit, an upper bound for the units that withheld
// jobs may be using on hosts that are not adopted. s.mu must be held.
func (s *Dispatcher) withheldUnits() map[string]int64 {
	withheld := map[string]int64{}
	for _, h := range s.withheldJobs {
		for _, part := range h.parts {
			limit := s.contract.Limits[s.contract.Teams[part.Job.Team].Limit]
			cost, _ := part.Job.Size.UnitsNeeded(limit.Unit)
			withheld[limit.Name] += cost * int64(part.Count)
		}
	}
	var capacity resource.Vector
	for id := range s.unadopted {
		if h := s.hosts[id]; h != nil {
			capacity = capacity.Add(h.entry.Capacity)
		}
	}
	for name, units := range withheld {
		withheld[name] = min(units, maxUnits(capacity, s.contract.Limits[name].Unit))
	}
	return withheld
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
