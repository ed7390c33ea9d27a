package requests

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// leaseLoop asks the slot keepers for slots, regularly and when requests wait.
// While they go on waiting it asks less and less often: in an overload there
// are no more slots to get, and the nodes' traffic must not grow with it.
func (s *Server) leaseLoop() {
	ticker := time.NewTicker(s.options.LeaseEvery)
	defer ticker.Stop()
	gap, waited := s.options.LeaseGap, false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.kicked:
			gap, waited = min(2*gap, s.options.LeaseEvery), true
		case <-ticker.C:
			if !waited {
				gap = s.options.LeaseGap
			}
			waited = false
		}
		s.askKeepers()
		if !s.pause(gap) {
			return
		}
	}
}

// askKeepers starts one call to each keeper that has none under way, so a
// silent keeper does not hold up the others.
func (s *Server) askKeepers() {
	view := s.members.View()
	keepers := s.keep(view)
	for name := range keepers {
		v, _ := s.leasing.LoadOrStore(name, &atomic.Bool{})
		busy := v.(*atomic.Bool)
		if !busy.CompareAndSwap(false, true) {
			continue
		}
		ask := func() {
			defer busy.Store(false)
			s.askKeeper(view, name, func(runner string) bool { return router.KeeperOf(runner, view.Live) == name })
		}
		if name == view.Self {
			ask()
			continue
		}
		s.workers.Go(ask)
	}
}

// keep makes this node keeper of its runners and returns all keepers.
func (s *Server) keep(view View) map[string]bool {
	keepers := map[string]bool{}
	mine := map[string]int{}
	s.eachUpstream(func(u *upstream) {
		u.mu.Lock()
		runners := u.table.Runners()
		u.mu.Unlock()
		for _, r := range runners {
			name := router.KeeperOf(r.ID, view.Live)
			keepers[name] = true
			if name == view.Self {
				mine[r.ID] = r.Slots
			}
		}
	})
	delete(keepers, "")
	now := s.clock.Now()
	for i := range s.keepers {
		shard := &s.keepers[i]
		shard.mu.Lock()
		shard.keeper.Retain(func(runner string) bool { _, ok := mine[runner]; return ok })
		shard.mu.Unlock()
	}
	for id, slots := range mine {
		shard := s.keeper(id)
		shard.mu.Lock()
		shard.keeper.Start(now, id, slots)
		shard.mu.Unlock()
	}
	return keepers
}

func (s *Server) askKeeper(view View, name string, keeps func(string) bool) {
	sent, sequence := s.clock.Now(), s.sequence.Add(1)
	req := &peerv1.LeaseSlotsRequest{Node: view.Self, Incarnation: view.Incarnation, Sequence: sequence}
	s.eachUpstream(func(u *upstream) {
		u.mu.Lock()
		demands := u.table.Demands(sent, sequence, keeps)
		u.mu.Unlock()
		for _, d := range demands {
			req.Demands = append(req.Demands, &peerv1.SlotDemand{
				Runner: d.Runner, Want: int32(d.Want), InUse: int32(d.InUse), Held: int32(d.Held), Leaving: d.Leaving,
			})
		}
	})
	ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
	defer cancel()
	var resp *peerv1.LeaseSlotsResponse
	var err error
	if name == view.Self {
		resp, err = s.LeaseSlots(ctx, req)
	} else {
		resp, err = s.peers.LeaseSlots(ctx, name, req)
	}
	if err != nil {
		s.options.Log.Debug("requests: No slots from keeper.", "keeper", name, "error", err)
		return
	}
	grants := make(map[string]*peerv1.SlotGrant, len(resp.Grants))
	for _, g := range resp.Grants {
		grants[g.Runner] = g
	}
	s.eachUpstream(func(u *upstream) {
		u.with(s.clock.Now(), func(t *router.Table) {
			for _, r := range t.Runners() {
				if g := grants[r.ID]; g != nil {
					t.Grant(sent, sequence, r.ID, int(g.Slots), time.Duration(g.ExpiresMillis)*time.Millisecond, g.Leaving)
				}
			}
		})
	})
}
