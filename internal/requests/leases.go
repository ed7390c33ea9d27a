package requests

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// leaseLoop leases slots from the lease managers, every LeaseInterval and
// when requests wait. While requests keep waiting it backs off up to
// LeaseInterval: under overload there are no more slots to lease, and the
// traffic between nodes must not grow with the load.
func (s *Server) leaseLoop() {
	ticker := time.NewTicker(s.options.LeaseInterval)
	defer ticker.Stop()
	interval, hasWaiting := s.options.MinLeaseInterval, false
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.leaseWake:
			interval, hasWaiting = min(2*interval, s.options.LeaseInterval), true
		case <-ticker.C:
			if !hasWaiting {
				interval = s.options.MinLeaseInterval
			}
			hasWaiting = false
		}
		s.requestSlots()
		if !s.sleep(interval) {
			return
		}
	}
}

// requestSlots starts a lease call to each lease manager that has no call in
// flight. A lease manager that does not respond does not delay the others.
func (s *Server) requestSlots() {
	view := s.members.View()
	managers := s.updateManagedRunners(view)
	for name := range managers {
		v, _ := s.leaseCalls.LoadOrStore(name, &atomic.Bool{})
		callInFlight := v.(*atomic.Bool)
		if !callInFlight.CompareAndSwap(false, true) {
			continue
		}
		request := func() {
			defer callInFlight.Store(false)
			s.requestSlotsFrom(view, name, func(runner string) bool { return router.LeaseManagerOf(runner, view.Members) == name })
		}
		if name == view.Self {
			request()
			continue
		}
		s.background.Go(request)
	}
}

// updateManagedRunners updates the runners that this node is the lease manager of
// and returns the names of all lease managers.
func (s *Server) updateManagedRunners(view View) map[string]bool {
	managers := map[string]bool{}
	managedSlots := map[string]int{}
	s.eachUpstream(func(u *upstream) {
		u.mu.Lock()
		runners := u.table.Runners()
		u.mu.Unlock()
		for _, r := range runners {
			name := router.LeaseManagerOf(r.ID, view.Members)
			managers[name] = true
			if name == view.Self {
				managedSlots[r.ID] = r.Slots
			}
		}
	})
	delete(managers, "")
	now := s.clock.Now()
	for i := range s.leaseManagers {
		partition := &s.leaseManagers[i]
		partition.mu.Lock()
		partition.manager.Retain(func(runner string) bool { _, ok := managedSlots[runner]; return ok })
		partition.mu.Unlock()
	}
	for id, slots := range managedSlots {
		partition := s.leaseManagerPartitionOf(id)
		partition.mu.Lock()
		partition.manager.Start(now, id, slots)
		partition.mu.Unlock()
	}
	return managers
}

// requestSlotsFrom sends this node's demand for the slots of one lease manager's
// runners and applies the leases that the lease manager grants.
func (s *Server) requestSlotsFrom(view View, name string, manages func(string) bool) {
	sent, sequence := s.clock.Now(), s.leaseSequence.Add(1)
	req := &peerv1.LeaseSlotsRequest{Node: view.Self, Incarnation: view.Incarnation, Sequence: sequence}
	s.eachUpstream(func(u *upstream) {
		u.mu.Lock()
		demands := u.table.Demands(sent, sequence, manages)
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
		s.options.Log.Debug("requests: Lease call to lease manager failed.", "keeper", name, "error", err)
		return
	}
	grants := make(map[string]*peerv1.SlotGrant, len(resp.Grants))
	for _, g := range resp.Grants {
		grants[g.Runner] = g
	}
	s.eachUpstream(func(u *upstream) {
		u.withTable(s.clock.Now(), func(t *router.Table) {
			for _, r := range t.Runners() {
				if g := grants[r.ID]; g != nil {
					t.ApplyGrant(sent, sequence, r.ID, int(g.Slots), time.Duration(g.ExpiresMillis)*time.Millisecond, g.Leaving)
				}
			}
		})
	})
}
