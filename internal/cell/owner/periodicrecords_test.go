package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a summary of the load, or a record of run times, that costs a call of the
// store of its own since the records before it fill the last append, and against one that is
// then not stored with the next append either.
func TestPeriodicRecordsStayWithinTheLastAppend(t *testing.T) {
	for name, c := range map[string]struct {
		records  int
		runTimes bool
		want     int
	}{
		"no others":             {0, true, 0},
		"space for both":        {maxRecordsPerAppend - 2, true, maxRecordsPerAppend},
		"space for one":         {maxRecordsPerAppend - 1, true, maxRecordsPerAppend},
		"space for the summary": {maxRecordsPerAppend - 1, false, maxRecordsPerAppend},
		"no space":              {maxRecordsPerAppend, false, maxRecordsPerAppend},
		"space in the second":   {maxRecordsPerAppend + 1, false, maxRecordsPerAppend + 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(learningOptions(Options{Admission: true}))
			w.published = loadPublisher{checked: true, waits: true} // a backlog that is over
			if c.runTimes {
				endRun(w, 1, "one")
			}
			now := time.Hour
			got := w.withPeriodicRecords(make([]platform.Record, c.records), now)
			if len(got) != c.want {
				t.Errorf("%d records are stored, want %d", len(got), c.want)
			}
			due := 1
			if c.runTimes {
				due = 2
			}
			left := due - (len(got) - c.records)
			if got := w.withPeriodicRecords(make([]platform.Record, 1), now); len(got) != 1+left {
				t.Errorf("%d records are stored with the next append, want %d", len(got)-1, left)
			}
		})
	}
}
