package requests

import "time"

const (
	// keptCalls bounds the kept runners that are asked at once. A silent one
	// takes a call for the client's status timeout, about StatusInterval, so
	// more silent runners than this delay the others.
	keptCalls = 64
	// keptEvery is the time between two looks at which kept runners are due.
	keptEvery = 100 * time.Millisecond
)

// keptLoop asks the runners that this node is slot keeper of for their status,
// so that the borrowers of their slots learn which of them leave.
func (s *Server) keptLoop() {
	ticker := time.NewTicker(keptEvery)
	defer ticker.Stop()
	calls := make(chan struct{}, keptCalls)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.eachUpstream(func(u *upstream) { s.askKept(u, calls) })
		}
	}
}

// askKept starts the status calls that are due, as far as calls has room.
func (s *Server) askKept(u *upstream, calls chan struct{}) {
	u.mu.Lock()
	runners := u.table.Runners()
	heard := make([]time.Duration, len(runners))
	for i, r := range runners {
		heard[i] = u.table.LastHeard(r.ID)
	}
	u.mu.Unlock()
	for i, r := range runners {
		select {
		case calls <- struct{}{}:
		default:
			return
		}
		shard := s.keeper(r.ID)
		shard.mu.Lock()
		due := shard.keeper.StatusDue(s.clock.Now(), r.ID, heard[i])
		shard.mu.Unlock()
		if !due {
			<-calls
			continue
		}
		s.workers.Go(func() {
			defer func() { <-calls }()
			s.askRunner(u, r)
		})
	}
}
