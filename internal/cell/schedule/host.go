package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// host is a worker host and what is believed to be present on it.
type host struct {
	spec cell.Host
	rack string
	// listed is set while the platform lists the host.
	listed bool
	// known is set once the host has listed its runs under the present token.
	known bool
	// reachable is set while the host answers.
	reachable bool
	// closed hosts take nothing until the owner has stored that they are open.
	closed bool
	born   int64
	// endSeen is the highest number of an end that has been applied.
	endSeen int64
	used    resource.Vector
	// filling is the processor need of tasks that use only what others leave.
	filling  int64
	attempts map[runKey]*attempt
	// foreign is the number of listed runs whose size is not known, since their
	// submissions are over. Nothing is placed beside them.
	foreign int
	// reserved is room that this pass keeps for gangs ahead in the queue.
	reserved      resource.Vector
	reservedUntil time.Duration
	// ends are the expected ends of the attempts, in order; nil until this pass
	// needs them.
	ends   []release
	health health
	// quietUntil is how long tasks that fill stay away from the tasks that serve.
	quietUntil time.Duration
}

// runKey names a run on one host.
type runKey struct {
	task cell.TaskID
	run  int64
}

// usable reports whether the host takes new work.
func (h *host) usable(now time.Duration) bool {
	return h.foreign == 0 && !h.closed && h.listed && h.known && h.reachable && !h.spec.Leaving && !h.health.avoided(now)
}

// free returns the room that is neither used nor promised.
func (h *host) free() resource.Vector { return h.spec.Capacity.Sub(h.used) }

// freeFor returns the room for a task that ends by a time. Room that is kept
// for a gang may be used by what ends before the gang can start.
func (h *host) freeFor(end time.Duration) resource.Vector {
	if end <= h.reservedUntil {
		return h.free()
	}
	return h.free().Sub(h.reserved)
}

// slots returns how many tasks of a size fit into some room.
func slots(size, room resource.Vector) int {
	n := int64(1 << 20)
	for i := range resource.Dimensions {
		if size.At(i) > 0 {
			n = min(n, room.At(i)/size.At(i))
		}
	}
	return int(max(n, 0))
}
