package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// shape is a class of requests that fit the same hosts.
type shape struct {
	key     shapeKey
	lanes   []*lane
	blocked bool
	// slot is the position in the list of blocked shapes.
	slot int
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

func (s *Scheduler) shape(k shapeKey) *shape {
	sh := s.shapes[k]
	if sh == nil {
		sh = &shape{key: k}
		s.shapes[k] = sh
	}
	return sh
}

// block parks the lanes of a shape until a host has room for one task.
func (s *Scheduler) block(sh *shape) {
	if sh.blocked {
		return
	}
	sh.blocked, sh.slot = true, len(s.blocked)
	s.blocked = append(s.blocked, sh)
	sh.stir()
	if sh.key.count > 1 {
		sh.nextTry = max(sh.nextTry, s.now+gangRetry)
	}
}

func (s *Scheduler) unblock(sh *shape) {
	if !sh.blocked {
		return
	}
	last := s.blocked[len(s.blocked)-1]
	s.blocked[sh.slot], last.slot = last, sh.slot
	s.blocked = s.blocked[:len(s.blocked)-1]
	sh.blocked = false
	sh.stir()
}

// wake unblocks the shapes that fit into free.
func (s *Scheduler) wake(free resource.Vector) {
	for i := len(s.blocked) - 1; i >= 0; i-- {
		sh := s.blocked[i]
		if !sh.key.size.Fits(free) {
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

// stir makes the queues that use the shape choose anew.
func (sh *shape) stir() {
	for _, l := range sh.lanes {
		l.queue.dirty = true
	}
}
