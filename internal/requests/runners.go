package requests

import (
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/router"
)

// SetRunners applies the platform's list of hosts. It adds runners, marks those
// that are leaving, and removes those that are no longer listed once their
// requests have ended. It must not be called with the empty result of a failed
// read, which would remove all runners.
func (s *Server) SetRunners(hosts []hostlist.Host) {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	byUpstream := map[string][]hostlist.Host{}
	for _, h := range hosts {
		if h.Role == hostlist.RoleRunner && upstreamNamePattern.MatchString(h.Upstream) {
			byUpstream[h.Upstream] = append(byUpstream[h.Upstream], h)
		}
	}
	for name := range byUpstream {
		if s.upstream(name) == nil && s.upstreamCount.Load() < MaxUpstreams {
			s.upstreamCount.Add(1)
			s.upstreams.Store(name, newUpstream(name, s.options.Router,
				func() { wake(s.leaseWake) }, func() { wake(s.statusWake) }))
		}
	}
	s.eachUpstream(func(u *upstream) {
		u.withTable(s.clock.Now(), func(t *router.Table) { applyHosts(t, byUpstream[u.name]) })
	})
	s.forgetUnlisted(hosts)
	wake(s.leaseWake)
}

// addressForgetter is a runner client that keeps state for each address.
type addressForgetter interface{ Forget(address string) }

// forgetUnlisted drops the client's state, such as idle connections, for runners
// that are no longer listed.
func (s *Server) forgetUnlisted(hosts []hostlist.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Role == hostlist.RoleRunner {
			listed[h.Address] = true
		}
	}
	if client, ok := s.client.(addressForgetter); ok {
		for address := range s.addresses {
			if !listed[address] {
				client.Forget(address)
			}
		}
	}
	s.addresses = listed
}

func applyHosts(t *router.Table, hosts []hostlist.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		t.Add(router.Runner{ID: h.ID, Address: h.Address, Zone: h.Zone, Upstream: h.Upstream, Slots: h.Slots})
		t.SetLeaving(h.ID, h.Leaving)
	}
	for _, r := range t.Runners() {
		if !listed[r.ID] {
			t.Delist(r.ID)
		}
	}
}
