package requests

import "time"

const (
	// maxLeaseManagerStatusCalls bounds the concurrent status calls to the runners
	// that this node is the lease manager of. A call to a runner that does not
	// respond lasts for the client's status timeout, about router.StatusInterval, so
	// more such runners than this delay the status of the others.
	maxLeaseManagerStatusCalls = 64
	// leaseManagerStatusPollInterval is the time between two checks for runners
	// whose status call is due.
	leaseManagerStatusPollInterval = 100 * time.Millisecond
)

// leaseManagerStatusLoop polls the status of the runners that this node is the
// lease manager of, so that the nodes that lease their slots learn which of
// them are leaving.
func (s *Server) leaseManagerStatusLoop() {
	ticker := time.NewTicker(leaseManagerStatusPollInterval)
	defer ticker.Stop()
	calls := make(chan struct{}, maxLeaseManagerStatusCalls)
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
	lastAnswersAt := make([]time.Duration, len(runners))
	for i, r := range runners {
		lastAnswersAt[i] = u.table.LastAnswerAt(r.ID)
	}
	u.mu.Unlock()
	for i, r := range runners {
		select {
		case calls <- struct{}{}:
		default:
			return
		}
		partition := s.leaseManagerPartitionOf(r.ID)
		partition.mu.Lock()
		due := partition.manager.StatusDue(s.clock.Now(), r.ID, lastAnswersAt[i])
		partition.mu.Unlock()
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
