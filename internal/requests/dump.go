package requests

// Dump is a snapshot of the package's state for operators.
type Dump struct {
	InFlight      int            `json:"in_flight"`
	Draining      bool           `json:"draining"`
	BufferedBytes int64          `json:"buffered_bytes"`
	VoterEntries  int            `json:"voter_entries"`
	Upstreams     []UpstreamDump `json:"upstreams"`
}

// Dump returns a snapshot of the state.
func (s *Server) Dump() Dump {
	s.inFlight.mu.Lock()
	d := Dump{InFlight: s.inFlight.count, Draining: s.inFlight.draining, BufferedBytes: s.bufferedBytes.Load()}
	s.inFlight.mu.Unlock()
	for i := range s.voters {
		s.voters[i].mu.Lock()
		d.VoterEntries += s.voters[i].table.Len()
		s.voters[i].mu.Unlock()
	}
	now := s.clock.Now()
	s.eachUpstream(func(u *upstream) {
		u.mu.Lock()
		defer u.mu.Unlock()
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Name: u.name, Waiting: u.admission.Waiting(), ServiceTime: u.admission.MeanSlotTime(), Runners: u.table.Report(now),
		})
	})
	return d
}
