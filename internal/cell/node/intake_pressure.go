package node

import (
	"runtime/metrics"

	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

// The memory that the Go runtime has from the system is the total without what it has
// returned.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
)

// memoryInUse returns the memory that the Go runtime has from the system, in bytes.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// adapt sets the limits of the budgets by the memory in use.
func (c *clientIntake) adapt(used int64) {
	c.bodies.SetLimit(intake.LimitUnderPressure(c.bounds.BodyBytes, used, c.memory))
	c.peers.SetLimit(intake.LimitUnderPressure(c.bounds.PeerBytes, used, c.memory))
}
