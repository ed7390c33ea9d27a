package owner

import (
	"bytes"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// loadInterval is the least time between two published summaries. Nodes use a summary for
// admission.MaxSummaryAge.
const loadInterval = time.Second

// loadPublisher remembers the last published summary. Only persist uses it.
type loadPublisher struct {
	at   time.Duration
	last []byte
}

// loadRecords returns the record of the summary of the work that waits, none if nothing waits
// and the last one says so, or it is not time yet. It is stored together with other records
// only.
func (ow *Owner) loadRecords(now time.Duration) []platform.Record {
	p := &ow.published
	if !ow.options.Admission || p.last != nil && now < p.at+loadInterval {
		return nil
	}
	p.at = now
	s := admission.Summary{Token: ow.options.Self.Token, Backlogs: ow.backlogs()}
	ow.metrics.load.setBacklogs(s.Backlogs)
	r := registry.LoadRecord(s)
	if len(s.Backlogs) == 0 && (p.last == nil || bytes.Equal(p.last, r.Value)) {
		p.last = r.Value
		return nil
	}
	p.last = r.Value
	return []platform.Record{r}
}

func (ow *Owner) backlogs() []admission.Backlog {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return nil
	}
	return ow.scheduler.Backlogs()
}
