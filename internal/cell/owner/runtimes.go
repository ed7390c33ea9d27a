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

// runTimesRecords returns the record of the run times, none if it is not due or there is no news.
func (ow *Owner) runTimesRecords(now time.Duration) []platform.Record {
	if now < ow.runTimesDue {
		return nil
	}
	var data []byte
	ow.withState(func() { data = ow.scheduler.RunTimes() })
	if data == nil {
		return nil
	}
	ow.runTimesDue = now + runTimesStoreInterval
	return []platform.Record{registry.RunTimesRecord(data)}
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
