package requests

import (
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/router"
)

// SetRunners takes over the platform's list. It adds runners, marks those
// that leave, and removes those that are no longer listed once their requests
// have ended. It must not be called with the empty result of a failed read.
func (s *Server) SetRunners(hosts []hostlist.Host) {
	s.updating.Lock()
	defer s.updating.Unlock()
	byUpstream := map[string][]hostlist.Host{}
	for _, h := range hosts {
		if h.Role == hostlist.RoleRunner && upstreamName.MatchString(h.Upstream) {
			byUpstream[h.Upstream] = append(byUpstream[h.Upstream], h)
		}
	}
	for name := range byUpstream {
		if s.upstream(name) == nil && s.count.Load() < MaxUpstreams {
			s.count.Add(1)
			s.upstreams.Store(name, newUpstream(name, s.options.Router,
				func() { poke(s.kicked) }, func() { poke(s.doubted) }))
		}
	}
	s.eachUpstream(func(u *upstream) {
		u.with(s.clock.Now(), func(t *router.Table) { replace(t, byUpstream[u.name]) })
	})
	s.forget(hosts)
	poke(s.kicked)
}

// forgetter is a runner client that keeps something for each address.
type forgetter interface{ Forget(address string) }

// forget closes idle connections to addresses that are no longer listed.
func (s *Server) forget(hosts []hostlist.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Role == hostlist.RoleRunner {
			listed[h.Address] = true
		}
	}
	if client, ok := s.client.(forgetter); ok {
		for address := range s.addresses {
			if !listed[address] {
				client.Forget(address)
			}
		}
	}
	s.addresses = listed
}

func replace(t *router.Table, hosts []hostlist.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		t.Add(router.Runner{ID: h.ID, Address: h.Address, Zone: h.Zone, Upstream: h.Upstream, Slots: h.Slots})
		t.SetLeaving(h.ID, h.Leaving)
	}
	for _, r := range t.Runners() {
		if !listed[r.ID] {
			t.Gone(r.ID)
		}
	}
}
