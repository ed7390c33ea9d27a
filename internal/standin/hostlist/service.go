package hostlist

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
)

// maxViews bounds the remembered views. A lag beyond the oldest serves the oldest.
const maxViews = 10_000

// errAway is the error of a call while the list is away.
var errAway = eris.New("host list is away")

// view is the list as of a time. Its hosts are never changed.
type view struct {
	at    time.Time
	hosts []hostlist.Host
}

// Service is the list. It implements hostlist.List and is safe for concurrent use.
type Service struct {
	now func() time.Time

	mu     sync.Mutex
	views  []view
	last   map[string]hostlist.Host
	faults Faults
}

// New returns an empty list with a clock.
func New(now func() time.Time) *Service {
	return &Service{now: now, views: []view{{at: now()}}, last: map[string]hostlist.Host{}}
}

// Set replaces all hosts.
func (s *Service) Set(hosts []hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(slices.Clone(hosts))
}

// Put adds a host or replaces the one with the same id.
func (s *Service) Put(host hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(append(s.without(host.ID), host))
}

// Remove removes a host.
func (s *Service) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(s.without(id))
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Missing, f.Resurrected = slices.Clone(f.Missing), slices.Clone(f.Resurrected)
	s.faults = f
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Actual returns the hosts without faults, sorted by id.
func (s *Service) Actual() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.views[len(s.views)-1].hosts)
}

// Hosts implements hostlist.List with the faults in force, sorted by id.
func (s *Service) Hosts(context.Context) ([]hostlist.Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Away {
		return nil, errAway
	}
	hosts := slices.Clone(s.served().hosts)
	hosts = slices.DeleteFunc(hosts, func(h hostlist.Host) bool {
		return slices.Contains(s.faults.Missing, h.ID)
	})
	for _, id := range s.faults.Resurrected {
		known := slices.ContainsFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
		if h, ok := s.last[id]; ok && !known {
			hosts = append(hosts, h)
		}
	}
	sortHosts(hosts)
	return hosts, nil
}

// served returns the newest view that is at least as old as the lag.
func (s *Service) served() view {
	limit := s.now().Add(-s.faults.Lag)
	for _, v := range slices.Backward(s.views) {
		if !v.at.After(limit) {
			return v
		}
	}
	return s.views[0]
}

func (s *Service) without(id string) []hostlist.Host {
	hosts := slices.Clone(s.views[len(s.views)-1].hosts)
	return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
}

func (s *Service) replace(hosts []hostlist.Host) {
	sortHosts(hosts)
	for _, h := range hosts {
		s.last[h.ID] = h
	}
	if len(s.views) >= maxViews {
		s.views = slices.Delete(s.views, 0, 1)
	}
	s.views = append(s.views, view{s.now(), hosts})
}

func sortHosts(hosts []hostlist.Host) {
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
}
