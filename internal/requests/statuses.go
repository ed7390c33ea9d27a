package requests

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"golang.org/x/sync/errgroup"
)

// statusCalls bounds the runners that are asked at once.
const statusCalls = 8

// statusLoop asks runners about slots whose state is not known.
func (s *Server) statusLoop() {
	ticker := time.NewTicker(s.options.StatusEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.doubted:
		case <-ticker.C:
		}
		s.askRunners()
		if !s.pause(s.options.LeaseGap) {
			return
		}
	}
}

func (s *Server) askRunners() {
	var group errgroup.Group
	group.SetLimit(statusCalls)
	s.eachUpstream(func(u *upstream) {
		now := s.clock.Now()
		u.with(now, func(*router.Table) {})
		u.mu.Lock()
		runners := u.table.Runners()
		unknown := u.table.UnknownRunners()
		u.mu.Unlock()
		doubtful := make(map[string]bool, len(unknown))
		for _, r := range unknown {
			doubtful[r.ID] = true
		}
		for _, r := range runners {
			shard := s.keeper(r.ID)
			shard.mu.Lock()
			need := shard.keeper.NeedStatus(now, r.ID)
			shard.mu.Unlock()
			if need || doubtful[r.ID] {
				group.Go(func() error { s.askRunner(u, r); return nil })
			}
		}
	})
	_ = group.Wait()
}

func (s *Server) askRunner(u *upstream, r router.Runner) {
	asked := s.clock.Now()
	status, err := s.client.Status(s.ctx, r.Address)
	if err != nil {
		// Unknown slots stay taken; the maximum request time frees them.
		return
	}
	shard := s.keeper(r.ID)
	shard.mu.Lock()
	shard.keeper.Status(asked, r.ID, status.Requests, status.InFlight)
	shard.keeper.SaidLeaving(asked, r.ID, status.Leaving)
	shard.mu.Unlock()
	u.with(s.clock.Now(), func(t *router.Table) {
		t.ResolveStatus(asked, r.ID, status.Requests, status.InFlight)
		t.SaidLeaving(asked, r.ID, status.Leaving)
	})
}
