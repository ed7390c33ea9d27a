package requests

import "time"

const (
	// maxKeeperStatusCalls bounds the concurrent status calls to the runners
	// that this node is slot keeper of. A call to a runner that does not respond
	// lasts for the client's status timeout, about router.StatusInterval, so
	// more such runners than this delay the status of the others.
	maxKeeperStatusCalls = 64
	// keeperStatusPollInterval is the time between two checks for runners whose
	// status call is due.
	keeperStatusPollInterval = 100 * time.Millisecond
)

// keeperStatusLoop polls the status of the runners that this node is slot keeper
// of, so that the nodes that lease their slots learn which of them are leaving.
func (s *Server) keeperStatusLoop() {
	ticker := time.NewTicker(keeperStatusPollInterval)
	defer ticker.Stop()
	calls := make(chan struct{}, maxKeeperStatusCalls)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.eachUpstream(func(u *upstream) { s.requestDueStatuses(u, calls) })
		}
	}
}

// requestDueStatuses starts the status calls that are due, until calls is full.
func (s *Server) requestDueStatuses(u *upstream, calls chan struct{}) {
	u.mu.Lock()
	runners := u.table.Runners()
	lastHeard := make([]time.Duration, len(runners))
	for i, r := range runners {
		lastHeard[i] = u.table.LastHeard(r.ID)
	}
	u.mu.Unlock()
	for i, r := range runners {
		select {
		case calls <- struct{}{}:
		default:
			return
		}
		shard := s.keeperShardOf(r.ID)
		shard.mu.Lock()
		due := shard.keeper.StatusDue(s.clock.Now(), r.ID, lastHeard[i])
		shard.mu.Unlock()
		if !due {
			<-calls
			continue
		}
		s.background.Go(func() {
			defer func() { <-calls }()
			s.requestStatus(u, r)
		})
	}
}
