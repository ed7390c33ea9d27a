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

// maxSnapshots is the maximum number of snapshots kept. If the lag exceeds the age
// of the oldest one, the oldest is served.
const maxSnapshots = 10_000

// errUnavailable is the error of a read under the fault Unavailable.
var errUnavailable = eris.New("host list is away")

// snapshot is the list from a point in time on. Its hosts must not be modified.
type snapshot struct {
	at    time.Time
	hosts []hostlist.Host
}

// Service simulates the host list. It implements hostlist.List and is safe for
// concurrent use.
type Service struct {
	now func() time.Time

	mu        sync.Mutex
	snapshots []snapshot
	lastSeen  map[string]hostlist.Host
	faults    Faults
}

// New returns an empty list. now returns the current time.
func New(now func() time.Time) *Service {
	return &Service{now: now, snapshots: []snapshot{{at: now()}}, lastSeen: map[string]hostlist.Host{}}
}

// Set replaces all hosts of the list.
func (s *Service) Set(hosts []hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addSnapshot(slices.Clone(hosts))
}

// Put adds a host, or replaces the host with the same ID.
func (s *Service) Put(host hostlist.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addSnapshot(append(s.hostsWithout(host.ID), host))
}

// Remove removes the host with an ID from the list.
func (s *Service) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addSnapshot(s.hostsWithout(id))
}

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Missing, f.Resurrected = slices.Clone(f.Missing), slices.Clone(f.Resurrected)
	s.faults = f
}

// Faults returns the faults that are currently simulated.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Actual returns the hosts as if there were no faults, sorted by ID.
func (s *Service) Actual() []hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.snapshots[len(s.snapshots)-1].hosts)
}

// Hosts implements hostlist.List. It applies the simulated faults and returns the
// hosts sorted by ID. It returns an error only under the fault Unavailable.
func (s *Service) Hosts(context.Context) ([]hostlist.Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return nil, errUnavailable
	}
	hosts := slices.Clone(s.laggingSnapshot().hosts)
	hosts = slices.DeleteFunc(hosts, func(h hostlist.Host) bool {
		return slices.Contains(s.faults.Missing, h.ID)
	})
	for _, id := range s.faults.Resurrected {
		listed := slices.ContainsFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
		if h, ok := s.lastSeen[id]; ok && !listed {
			hosts = append(hosts, h)
		}
	}
	sortHosts(hosts)
	return hosts, nil
}

// laggingSnapshot returns the newest snapshot that is at least as old as the lag,
// or the oldest snapshot if there is none.
func (s *Service) laggingSnapshot() snapshot {
	newestServed := s.now().Add(-s.faults.Lag)
	for _, v := range slices.Backward(s.snapshots) {
		if !v.at.After(newestServed) {
			return v
		}
	}
	return s.snapshots[0]
}

func (s *Service) hostsWithout(id string) []hostlist.Host {
	hosts := slices.Clone(s.snapshots[len(s.snapshots)-1].hosts)
	return slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return h.ID == id })
}

func (s *Service) addSnapshot(hosts []hostlist.Host) {
	sortHosts(hosts)
	for _, h := range hosts {
		s.lastSeen[h.ID] = h
	}
	if len(s.snapshots) >= maxSnapshots {
		s.snapshots = slices.Delete(s.snapshots, 0, 1)
	}
	s.snapshots = append(s.snapshots, snapshot{s.now(), hosts})
}

func sortHosts(hosts []hostlist.Host) {
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return cmp.Compare(a.ID, b.ID) })
}
