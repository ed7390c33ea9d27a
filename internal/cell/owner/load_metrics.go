package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// loadMetrics shows the load of the cell: what waits, and what each team uses of it.
type loadMetrics struct {
	scope tally.Scope
	// backlogs is the number of teams and queues with a published wait, longestWait the longest
	// of them in seconds, sharesHeld the steps that are held back for in-time work.
	backlogs, longestWait, sharesHeld, contended tally.Gauge
	sharesAt                                     time.Duration
}

// shareMetricsInterval is the time between two updates of the gauges of the teams.
const shareMetricsInterval = time.Second

func newLoadMetrics(s tally.Scope) loadMetrics {
	return loadMetrics{
		scope: s, backlogs: s.Gauge("admission_backlogs"), longestWait: s.Gauge("admission_longest_wait_seconds"),
		sharesHeld: s.Gauge("steps_held_back"), contended: s.Gauge("capacity_contended"),
	}
}

// setBacklogs shows the published waits.
func (m *loadMetrics) setBacklogs(list []admission.Backlog) {
	longest := int64(0)
	for i := range list {
		longest = max(longest, list[i].Longest())
	}
	m.backlogs.Update(float64(len(list)))
	m.longestWait.Update(float64(longest) / 1000)
}

// setShares shows whether teams want more than the cell has, what is held back, and at most once
// in shareMetricsInterval what each team uses.
func (m *loadMetrics) setShares(s *schedule.Scheduler, now time.Duration) {
	held, contended := s.SharesHeld()
	m.sharesHeld.Update(float64(held))
	updateFlag(m.contended, contended)
	if now < m.sharesAt+shareMetricsInterval {
		return
	}
	m.sharesAt = now
	for _, t := range s.TeamShares() {
		scope := m.scope.Tagged(map[string]string{"team": t.Team})
		scope.Gauge("team_usage").Update(t.Usage)
		scope.Gauge("team_share").Update(t.Share)
		scope.Gauge("team_share_deficit").Update(t.Deficit)
	}
}
