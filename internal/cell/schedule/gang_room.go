package schedule

// GangRoom shows what is kept free for gangs.
type GangRoom struct {
	// Gathering is the number of gangs for which capacity was reserved in the last decision, and
	// ReservedMilliCPU what was free and kept for them.
	Gathering int `json:"gathering"`
	// Pinned is the number of gangs whose room is kept while they wait for new tickets.
	Pinned           int   `json:"pinned"`
	ReservedMilliCPU int64 `json:"reserved_milli_cpu"`
}

// GangRoom returns what is kept free for gangs.
func (s *Scheduler) GangRoom() GangRoom {
	out := s.gangRoom
	out.Pinned = len(s.pinnedGangs)
	if out.Gathering == 0 && out.Pinned == 0 {
		return out
	}
	for _, h := range s.sortedHosts {
		out.ReservedMilliCPU += min(h.reserved.MilliCPU, max(h.free().MilliCPU, 0))
	}
	return out
}
