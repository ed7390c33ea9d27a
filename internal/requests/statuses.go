package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"golang.org/x/sync/errgroup"
)

// maxStatusCalls bounds the concurrent status calls of statusLoop.
const maxStatusCalls = 8

// statusLoop polls the status of runners that have slots in unknown state, both
// those that this node uses and those that it leases out as lease manager.
func (s *Server) statusLoop() {
	ticker := time.NewTicker(s.options.StatusPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.statusWake:
		case <-ticker.C:
		}
		s.requestNeededStatuses()
		if !s.sleep(s.options.MinLeaseInterval) {
			return
		}
	}
}

func (s *Server) requestNeededStatuses() {
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	s.eachUpstream(func(u *upstream) {
		now := s.clock.Now()
		u.withTable(now, func(*router.Table) {})
		u.mu.Lock()
		runners := u.table.Runners()
		unknown := u.table.UnknownRunners()
		u.mu.Unlock()
		unknownIDs := make(map[string]bool, len(unknown))
		for _, r := range unknown {
			unknownIDs[r.ID] = true
		}
		for _, r := range runners {
			partition := s.leaseManagerPartitionOf(r.ID)
			partition.mu.Lock()
			need := partition.manager.NeedStatus(now, r.ID)
			partition.mu.Unlock()
			if need || unknownIDs[r.ID] {
				group.Go(func() error { s.requestStatus(u, r); return nil })
			}
		}
	})
	_ = group.Wait()
}

// requestStatus requests the status of a runner and applies it to the
// lease manager and to the upstream's table.
func (s *Server) requestStatus(u *upstream, r router.Runner) {
	requestedAt := s.clock.Now()
	status, err := s.client.Status(s.ctx, r.Address)
	if err != nil {
		// Slots in unknown state stay in use until the maximum request time has
		// passed.
		return
	}
	partition := s.leaseManagerPartitionOf(r.ID)
	partition.mu.Lock()
	partition.manager.ApplyStatus(requestedAt, r.ID, status.Requests, status.InFlight)
	partition.manager.RecordLeaving(requestedAt, r.ID, status.Leaving)
	partition.mu.Unlock()
	u.withTable(s.clock.Now(), func(t *router.Table) {
		t.ResolveStatus(requestedAt, r.ID, status.Requests, status.InFlight)
		t.RecordLeaving(requestedAt, r.ID, status.Leaving)
	})
}
