package schedule

// GangRoom shows what is kept free for gangs, and which advice calls were made for gangs that
// wait for it.
type GangRoom struct {
	// Gathering is the number of gangs for which capacity was reserved in the last decision, and
	// ReservedMilliCPU what was free and kept for them.
	Gathering        int   `json:"gathering"`
	ReservedMilliCPU int64 `json:"reserved_milli_cpu"`
	// Renewals counts the calls that renewed tickets before the capacity was free, LateRenewals
	// those after it, and Searches the calls about undecided hosts while capacity was reserved.
	Renewals     int64 `json:"renewals"`
	LateRenewals int64 `json:"late_renewals"`
	Searches     int64 `json:"searches"`
}

// GangRoom returns what is kept free for gangs, and the calls for them so far.
func (s *Scheduler) GangRoom() GangRoom {
	out := s.gangRoom
	if out.Gathering == 0 {
		return out
	}
	for _, h := range s.sortedHosts {
		out.ReservedMilliCPU += min(h.reserved.MilliCPU, max(h.free().MilliCPU, 0))
	}
	return out
}
