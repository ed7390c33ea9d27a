package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// tombstoneAges holds since when this owner knows each tombstone, by its key. The tombstones of
// a node that has ended are thus deleted like all others. It holds no more keys than the
// registry.
type tombstoneAges map[string]time.Duration

// expired returns those of the stored tombstones that this owner has known for longer than the
// retention period, and forgets the age of those that are not stored any more.
func (a *tombstoneAges) expired(stored []string, now, retention time.Duration) (keys []string) {
	known := make(tombstoneAges, len(stored))
	for _, key := range stored {
		since, ok := (*a)[key]
		if !ok {
			since = now
		}
		known[key] = since
		if now-since > retention {
			keys = append(keys, key)
		}
	}
	*a = known
	return keys
}

// tombstoneExpiryRecords returns the records that delete expired tombstones, and whether these
// are all of them: one round stores about maxRecordsPerAppend. The final progress of a submission
// that such a tombstone cancelled is stored before it or with it. Only persist calls it.
func (ow *Owner) tombstoneExpiryRecords(now time.Duration) (records []platform.Record, all bool) {
	if ow.options.TombstoneKeys == nil {
		return nil, true
	}
	stored := ow.options.TombstoneKeys()
	ow.metrics.tombstones.Update(float64(len(stored)))
	expired := ow.tombstoneAges.expired(stored, now, ow.options.RetentionPeriod)
	all = len(expired) <= maxRecordsPerAppend
	for _, key := range expired[:min(len(expired), maxRecordsPerAppend)] {
		records = append(records, registry.TombstoneDeletionRecord(key))
		ow.tombstoneAges[key] = now // until the deletion has been read
	}
	return records, all
}
