package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell"

// SetEvacuated replaces the set of evacuated availability zones. Nothing starts on their
// hosts, and their capacity is not counted; what runs there is left alone.
func (s *Scheduler) SetEvacuated(z *cell.EvacuatedZones) {
	if z != s.evacuated {
		s.evacuated = z
		s.markEvacuatedHosts()
	}
}

// markEvacuatedHosts marks the hosts of evacuated zones, after a change of the zones or of
// the hosts.
func (s *Scheduler) markEvacuatedHosts() {
	s.evacuatedHosts = 0
	for _, h := range s.hosts {
		h.evacuated = s.evacuated.Has(h.spec.Zone)
		if h.evacuated {
			s.evacuatedHosts++
		}
	}
}

// hostsInService returns the number of hosts outside of evacuated zones.
func (s *Scheduler) hostsInService() int { return len(s.sortedHosts) - s.evacuatedHosts }

// HoldStarts sets whether no starts are planned, since it is not known which zones are
// evacuated.
func (s *Scheduler) HoldStarts(held bool) { s.startsHeld = held }

// ZoneUsage returns how many hosts an availability zone has, and how many runs may be
// present there.
func (s *Scheduler) ZoneUsage(zone string) (hosts, runs int) {
	for _, h := range s.hosts {
		if h.spec.Zone == zone {
			hosts++
			runs += len(h.runs) + h.unknownRuns
		}
	}
	return hosts, runs
}
