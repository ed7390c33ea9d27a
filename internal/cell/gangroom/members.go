package gangroom

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// membersRetention is how long the mean size is kept after the last gang was seen.
const membersRetention = 10 * time.Second

// maxCountedSize and maxCountedMembers bound what counts of a gang, so that the sums do not
// overflow: 4 million cores or 4 PiB for a member.
const (
	maxCountedSize    = 1 << 32
	maxCountedMembers = 1 << 16
)

// Members is the mean size of the members of the gangs that a service has recently had. Single
// tasks are placed so that few of such members lose their room.
type Members struct {
	size   resource.Vector
	seenAt time.Duration
	sum    resource.Vector
	count  int64
}

// Count adds members of a gang that waits or runs.
func (m *Members) Count(size resource.Vector, members int) {
	n := int64(min(members, maxCountedMembers))
	size = size.Min(resource.Vector{MilliCPU: maxCountedSize, MemoryMiB: maxCountedSize, Accelerators: maxCountedSize})
	m.sum, m.count = m.sum.Add(size.Scale(n)), m.count+n
}

// Update sets the size to the mean of the members that were counted since the last update. It
// is kept for a while if there were none.
func (m *Members) Update(now time.Duration) {
	switch {
	case m.count > 0:
		m.size = resource.Vector{MilliCPU: m.sum.MilliCPU / m.count, MemoryMiB: m.sum.MemoryMiB / m.count, Accelerators: m.sum.Accelerators / m.count}
		m.seenAt = now
	case now > m.seenAt+membersRetention:
		m.size = resource.Vector{}
	}
	m.sum, m.count = resource.Vector{}, 0
}

// Size returns the mean size; zero if there have been no gangs of late.
func (m *Members) Size() resource.Vector { return m.size }

// Known reports whether there have been gangs of late.
func (m *Members) Known() bool { return m.size != (resource.Vector{}) }

// Displaced returns how many members lose their room on a host with free resources if a task
// of a size starts there; zero if there have been no gangs of late.
func (m *Members) Displaced(free, task resource.Vector) int {
	return m.fit(free) - m.fit(free.Sub(task))
}

// fit returns how many members fit into free resources. It is called for each host and task
// of a decision, so that it goes through the resources without a loop.
func (m *Members) fit(free resource.Vector) int {
	n := int64(1 << 20)
	if m.size.MilliCPU > 0 {
		n = free.MilliCPU / m.size.MilliCPU
	}
	if m.size.MemoryMiB > 0 {
		n = min(n, free.MemoryMiB/m.size.MemoryMiB)
	}
	if m.size.Accelerators > 0 {
		n = min(n, free.Accelerators/m.size.Accelerators)
	}
	return int(max(n, 0))
}
