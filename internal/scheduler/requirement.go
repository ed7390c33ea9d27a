package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// requirement is what one start needs from the hosts. Starts with equal
// requirements fit the same hosts, so one search decides for all of their job
// groups.
type requirement struct {
	key    requirementKey
	groups []*jobGroup
	// blocked is set once a search found no host with enough free capacity. For
	// requirements other than gangs, hosts that gained free capacity since are
	// in Scheduler.freedHosts.
	blocked bool
	// index is the position in Scheduler.blockedGangs, or for other listed
	// requirements in their cell of the requirementIndex.
	index int
	// unblockedIndex is the position in Scheduler.unblocked.
	unblockedIndex int
	// listed counts the groups that are in the list of their queue.
	listed int
	// nextSearch is the earliest time of the next search for hosts for a gang;
	// searchTimer is set while a timer for it is pending.
	nextSearch  time.Duration
	searchTimer bool
}

type requirementKey struct {
	size resource.Vector
	kind work.Kind
	// count is the number of tasks that are placed together: 1, or the size of
	// a gang.
	count int32
}

func (req *requirement) gang() bool { return req.key.kind == work.Gang }

func (s *Scheduler) requirement(k requirementKey) *requirement {
	req := s.requirements[k]
	if req == nil {
		req = &requirement{key: k}
		req.blocked = !req.gang() && coveredByIndex(k.size) && !s.anyHostFits(k.size)
		s.requirements[k] = req
	}
	return req
}

// coveredByIndex reports whether the host index holds every host that v fits.
func coveredByIndex(v resource.Vector) bool { return v.MilliCPU > 0 && v.MemoryMiB > 0 }

// anyHostFits reports whether size fits the free capacity of any host.
func (s *Scheduler) anyHostFits(size resource.Vector) (found bool) {
	s.index.Visit(size, false, func(i int) bool {
		found = size.Fits(s.hostList[i].view.Free)
		return !found
	})
	return found
}

// mayFit reports whether a host may have free capacity for the requirement.
func (s *Scheduler) mayFit(req *requirement) bool {
	return !req.blocked || (!req.gang() && s.fitsFreedHost(req))
}

// block excludes the groups of a requirement from searches until a host has
// free capacity for one task.
func (s *Scheduler) block(req *requirement) {
	if req.blocked {
		return
	}
	if req.listed > 0 {
		s.removeUnblocked(req)
		req.countUnblocked(-1)
	}
	req.blocked = true
	if !req.gang() {
		return
	}
	req.index = len(s.blockedGangs)
	s.blockedGangs = append(s.blockedGangs, req)
	if req.key.count > 1 {
		req.nextSearch = max(req.nextSearch, s.now+gangSearchInterval)
	}
}

func (s *Scheduler) unblock(req *requirement) {
	if !req.blocked {
		return
	}
	if req.gang() {
		last := s.blockedGangs[len(s.blockedGangs)-1]
		s.blockedGangs[req.index], last.index = last, req.index
		s.blockedGangs = s.blockedGangs[:len(s.blockedGangs)-1]
	}
	req.blocked = false
	if req.listed > 0 {
		s.addUnblocked(req)
		req.countUnblocked(1)
	}
	s.roomVersion++
}

// countUnblocked adds n to the unblocked count of the queue of each listed
// group.
func (req *requirement) countUnblocked(n int) {
	for _, g := range req.groups {
		if g.listed {
			g.queue.unblocked += n
		}
	}
}

func (s *Scheduler) addUnblocked(req *requirement) {
	req.unblockedIndex = len(s.unblocked)
	s.unblocked = append(s.unblocked, req)
}

func (s *Scheduler) removeUnblocked(req *requirement) {
	last := len(s.unblocked) - 1
	s.unblocked[req.unblockedIndex] = s.unblocked[last]
	s.unblocked[req.unblockedIndex].unblockedIndex = req.unblockedIndex
	s.unblocked[last] = nil
	s.unblocked = s.unblocked[:last]
}

// hostGainedRoom records that h gained free capacity, and unblocks the gangs of
// which one task fits.
func (s *Scheduler) hostGainedRoom(h *host) {
	s.addFreedHost(h)
	for i := len(s.blockedGangs) - 1; i >= 0; i-- {
		req := s.blockedGangs[i]
		if !req.key.size.Fits(h.view.Free) {
			continue
		}
		if req.key.count > 1 && s.now < req.nextSearch {
			s.scheduleSearch(req)
			continue
		}
		s.unblock(req)
	}
}

// scheduleSearch sets a timer that unblocks a gang requirement when it may be
// searched again.
func (s *Scheduler) scheduleSearch(req *requirement) {
	if !req.searchTimer {
		req.searchTimer = true
		s.timers.add(timer{at: req.nextSearch, kind: timerGangSearch, requirement: req})
	}
}
