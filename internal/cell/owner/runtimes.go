package owner

import (
	"runtime/debug"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// runTimesStoreInterval is the least time between two records of run times: that of the
	// samples which are lost with an owner.
	runTimesStoreInterval = 5 * time.Second
	// runTimesGaugeInterval is the time between two updates of the gauges of run times.
	runTimesGaugeInterval = time.Second
)

// withRunTimes returns records with that of the run times after them, if it is due. It is
// stored only with others and in the same append, so that it costs no call of the store.
func (ow *Owner) withRunTimes(records []platform.Record, now time.Duration) []platform.Record {
	if len(records)%maxRecordsPerAppend == 0 || now < ow.runTimesDue {
		return records
	}
	var data []byte
	ow.withState(func() { data = ow.scheduler.RunTimes() })
	if data == nil {
		return records
	}
	ow.runTimesDue = now + runTimesStoreInterval
	return append(records, registry.RunTimesRecord(data))
}

// restoreRunTimes takes over the run times that an earlier owner has learned. A record that
// cannot be taken over is ignored: they are then learned anew.
func (ow *Owner) restoreRunTimes() {
	if ow.options.RunTimes == nil {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			ow.options.Log.Error("The stored run times cannot be taken over and are ignored.", "panic", v, "stack", string(debug.Stack()))
			ow.scheduler = newScheduler(ow.options)
			ow.desired = nil
		}
	}()
	data := ow.options.RunTimes()
	if err := ow.scheduler.RestoreRunTimes(data); err != nil {
		ow.options.Log.Warn("The stored run times cannot be decoded and are ignored.", "bytes", len(data), "error", err)
	}
}

// showRunTimes updates the gauges of run times. The caller holds ow.mu.
func (ow *Owner) showRunTimes(now time.Duration) {
	if now < ow.runTimesShown+runTimesGaugeInterval {
		return
	}
	ow.runTimesShown = now
	if totals, learned := ow.scheduler.RunTimeTotals(); learned {
		ow.metrics.runTimes.set(totals)
	}
}
