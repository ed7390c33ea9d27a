package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// withPeriodicRecords returns records with those of the run times and of the load after them,
// of each kind at most one, if they are due. They are stored only with others and in the same
// append, so that they cost no call of the store. One without space in the last append stays due.
func (ow *Owner) withPeriodicRecords(records []platform.Record, now time.Duration) []platform.Record {
	for _, due := range []func(time.Duration) []platform.Record{ow.runTimesRecords, ow.loadRecords} {
		if len(records)%maxRecordsPerAppend != 0 {
			records = append(records, due(now)...)
		}
	}
	return records
}
