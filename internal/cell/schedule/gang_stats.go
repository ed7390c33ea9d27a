package schedule

// GangRoom shows how much is kept for gangs, and what was asked for them.
type GangRoom struct {
	// Gathering is the number of gangs for which room was gathered in the last decision, and
	// ReservedMilliCPU what was kept free for them.
	Gathering        int   `json:"gathering"`
	ReservedMilliCPU int64 `json:"reserved_milli_cpu"`
	// Searches counts the times that the advice service was asked for a gang with gang
	// capacity on, and ParallelCalls the calls that were made beside the first one.
	Searches      int64 `json:"searches"`
	ParallelCalls int64 `json:"parallel_calls"`
}

// GangRoom returns what is kept and was asked for gangs.
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
