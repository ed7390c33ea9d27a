package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// gangRoomMetrics shows what is kept free for gangs.
type gangRoomMetrics struct{ gathering, pinned, reservedCores tally.Gauge }

func newGangRoomMetrics(s tally.Scope) gangRoomMetrics {
	return gangRoomMetrics{gathering: s.Gauge("gangs_gathering"), pinned: s.Gauge("gangs_pinned"), reservedCores: s.Gauge("gang_reserved_cores")}
}

// set shows the state after a decision.
func (m *gangRoomMetrics) set(r schedule.GangRoom) {
	m.gathering.Update(float64(r.Gathering))
	m.pinned.Update(float64(r.Pinned))
	m.reservedCores.Update(float64(r.ReservedMilliCPU) / 1000)
}
