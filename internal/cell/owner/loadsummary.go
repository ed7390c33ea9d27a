package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// loadInterval is the least time between two published summaries. Nodes use a summary for
	// admission.MaxSummaryAge.
	loadInterval = time.Second
	// slowRound is how long a round of storing may take until the summary in it is withdrawn with
	// the next one.
	slowRound = time.Second
)

// loadPublisher remembers the last published summary. Only persist uses it.
type loadPublisher struct {
	at time.Duration
	// checked is set once loadRecords has looked at the work that waits, waits while the last
	// published summary has a wait.
	checked, waits bool
	// withdraw is set if the last published summary took long to be stored.
	withdraw bool
}

// stored is called after a round of storing, which may take several appends, with how long it took.
func (p *loadPublisher) stored(took time.Duration) {
	p.withdraw = p.waits && (p.withdraw || took > slowRound)
}

// loadRecords returns the record of the summary of the work that waits, none if nothing waits
// and the last one says so, or it is not time yet. It is stored together with other records
// only. A summary that took long to be stored is withdrawn at once.
func (ow *Owner) loadRecords(now time.Duration) []platform.Record {
	p := &ow.published
	if !ow.options.Admission || p.checked && !p.withdraw && now < p.at+loadInterval {
		return nil
	}
	var s admission.Summary
	if !p.withdraw {
		s = ow.loadSummary()
	}
	s.Token = ow.options.Self.Token
	p.at, p.checked, p.withdraw = now, true, false
	ow.metrics.load.setBacklogs(s.Backlogs)
	if len(s.Backlogs) == 0 && !p.waits {
		return nil
	}
	p.waits = len(s.Backlogs) > 0
	return []platform.Record{registry.LoadRecord(s)}
}

// loadSummary returns the work that waits, and how far the work topic had been applied at the
// decision after which that holds.
func (ow *Owner) loadSummary() (s admission.Summary) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return s
	}
	s = ow.scheduler.LoadSummary()
	s.Applied = ow.applied
	return s
}
