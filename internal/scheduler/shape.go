package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// shape is a class of requests that fit the same hosts.
type shape struct {
	key   shapeKey
	lanes []*lane
	// blocked is set once no host had room. For shapes other than gangs, hosts
	// that gained room since are in Scheduler.open.
	blocked bool
	// slot is the position in the list of blocked gangs, or for other listed
	// shapes in their group of the index.
	slot int
	// trySlot is the position in the list of untried shapes.
	trySlot int
	// listed counts the lanes that are in the list of their queue.
	listed int
	// nextTry is the earliest time of the next search for a gang.
	nextTry time.Duration
	timed   bool
}

type shapeKey struct {
	size resource.Vector
	kind work.Kind
	// count is the number of tasks placed together: 1, or the width of a gang.
	count int32
}

func (sh *shape) gang() bool { return sh.key.kind == work.Gang }

func (s *Scheduler) shape(k shapeKey) *shape {
	sh := s.shapes[k]
	if sh == nil {
		sh = &shape{key: k}
		sh.blocked = !sh.gang() && indexed(k.size) && !s.hasRoom(k.size)
		s.shapes[k] = sh
	}
	return sh
}

// indexed reports whether the host index holds every host that v fits.
func indexed(v resource.Vector) bool { return v.MilliCPU > 0 && v.MemoryMiB > 0 }

// hasRoom reports whether any host has room for size.
func (s *Scheduler) hasRoom(size resource.Vector) (found bool) {
	s.index.Visit(size, false, func(i int) bool {
		found = size.Fits(s.hostList[i].view.Free)
		return !found
	})
	return found
}

// candidate reports whether a host may have room for the shape.
func (s *Scheduler) candidate(sh *shape) bool {
	return !sh.blocked || (!sh.gang() && s.fitsOpen(sh))
}

// block parks the lanes of a shape until a host has room for one task.
func (s *Scheduler) block(sh *shape) {
	if sh.blocked {
		return
	}
	if sh.listed > 0 {
		s.removeUntried(sh)
		sh.countUntried(-1)
	}
	sh.blocked = true
	if !sh.gang() {
		return
	}
	sh.slot = len(s.blocked)
	s.blocked = append(s.blocked, sh)
	if sh.key.count > 1 {
		sh.nextTry = max(sh.nextTry, s.now+gangRetry)
	}
}

func (s *Scheduler) unblock(sh *shape) {
	if !sh.blocked {
		return
	}
	if sh.gang() {
		last := s.blocked[len(s.blocked)-1]
		s.blocked[sh.slot], last.slot = last, sh.slot
		s.blocked = s.blocked[:len(s.blocked)-1]
	}
	sh.blocked = false
	if sh.listed > 0 {
		s.addUntried(sh)
		sh.countUntried(1)
	}
	s.growth++
}

// countUntried adds n to the count of each queue for each lane in its list.
func (sh *shape) countUntried(n int) {
	for _, l := range sh.lanes {
		if l.listed {
			l.queue.untried += n
		}
	}
}

func (s *Scheduler) addUntried(sh *shape) {
	sh.trySlot = len(s.untried)
	s.untried = append(s.untried, sh)
}

func (s *Scheduler) removeUntried(sh *shape) {
	last := len(s.untried) - 1
	s.untried[sh.trySlot] = s.untried[last]
	s.untried[sh.trySlot].trySlot = sh.trySlot
	s.untried[last] = nil
	s.untried = s.untried[:last]
}

// wake notes that h gained room, and unblocks the gangs of which a task fits.
func (s *Scheduler) wake(h *host) {
	s.openHost(h)
	for i := len(s.blocked) - 1; i >= 0; i-- {
		sh := s.blocked[i]
		if !sh.key.size.Fits(h.view.Free) {
			continue
		}
		if sh.key.count > 1 && s.now < sh.nextTry {
			s.wakeAt(sh)
			continue
		}
		s.unblock(sh)
	}
}

// wakeAt unblocks a gang shape when it may be tried again.
func (s *Scheduler) wakeAt(sh *shape) {
	if !sh.timed {
		sh.timed = true
		s.timers.add(timer{at: sh.nextTry, kind: timerShape, shape: sh})
	}
}
