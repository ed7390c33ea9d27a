package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// gangRoomMetrics shows what is kept free for gangs, and the advice calls for gangs that wait.
type gangRoomMetrics struct {
	gathering, reservedCores         tally.Gauge
	renewals, lateRenewals, searches tally.Counter
	last                             schedule.GangRoom
}

func newGangRoomMetrics(s tally.Scope) gangRoomMetrics {
	return gangRoomMetrics{
		gathering: s.Gauge("gangs_gathering"), reservedCores: s.Gauge("gang_reserved_cores"),
		renewals: s.Counter("gang_ticket_renewals"), lateRenewals: s.Counter("gang_late_ticket_renewals"), searches: s.Counter("gang_host_searches"),
	}
}

// set shows the state after a decision.
func (m *gangRoomMetrics) set(r schedule.GangRoom) {
	m.gathering.Update(float64(r.Gathering))
	m.reservedCores.Update(float64(r.ReservedMilliCPU) / 1000)
	m.renewals.Inc(r.Renewals - m.last.Renewals)
	m.lateRenewals.Inc(r.LateRenewals - m.last.LateRenewals)
	m.searches.Inc(r.Searches - m.last.Searches)
	m.last = r
}
