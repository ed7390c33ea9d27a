package dispatch

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// SetContract replaces the published contract.
func (s *Shard) SetContract(c scheduler.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contract = c
	s.apply(scheduler.ContractChanged{Contract: c})
	s.updateAllotments()
	s.decideSoon()
}

// SetAllotments replaces what each limit allows in this shard, in contract units.
func (s *Shard) SetAllotments(units map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotted = units
	s.updateAllotments()
	s.decideSoon()
}

// updateAllotments tells the scheduler what it may use. Tasks of held jobs may
// run on hosts that are not adopted yet, so their units are kept back. The
// lock must be held.
func (s *Shard) updateAllotments() {
	units := make(map[string]int64, len(s.allotted))
	held := s.heldUnits()
	for limit, n := range s.allotted {
		units[limit] = max(0, n-held[limit])
	}
	s.apply(scheduler.AllotmentsChanged{Units: units})
}

// heldUnits returns an upper bound, per limit, of what held jobs may be using
// on hosts that are not adopted.
func (s *Shard) heldUnits() map[string]int64 {
	held := map[string]int64{}
	for _, h := range s.held {
		for _, part := range h.parts {
			limit := s.contract.Limits[s.contract.Teams[part.Job.Team].Limit]
			cost, _ := part.Job.Size.UnitsNeeded(limit.Unit)
			held[limit.Name] += cost * int64(part.Count)
		}
	}
	var room resource.Vector
	for id := range s.initial {
		if h := s.hosts[id]; h != nil {
			room = room.Add(h.entry.Capacity)
		}
	}
	for name, units := range held {
		held[name] = min(units, maxUnits(room, s.contract.Limits[name].Unit))
	}
	return held
}

// maxUnits returns the largest number of units that tasks in an amount of room
// can cost. Each resource alone can make up the cost of a task, so the parts
// add up.
func maxUnits(room, unit resource.Vector) int64 {
	var sum int64
	for i := range resource.Dimensions {
		if one := unit.At(i); one > 0 {
			sum += (room.At(i) + one - 1) / one
		}
	}
	return sum
}
