package node

import (
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// maxEvacuatedZones bounds the evacuated zones that a node keeps. Further ones are
	// ignored; a platform has a few zones.
	maxEvacuatedZones = 4096
	// maxLoggedZones bounds the zones that one log line names.
	maxLoggedZones = 10
	// readsPerEvacuationAge is how many reads of the desired topic without a record fit
	// into the greatest age at which the evacuated zones count as known.
	readsPerEvacuationAge = 4
)

// evacuations is the set of evacuated availability zones, which operators write to the
// topic of the desired state.
type evacuations struct {
	log   *slog.Logger
	gauge tally.Gauge
	// offsets holds the offset of the newest record of each evacuated zone. Only the
	// reader of the topic uses it.
	offsets map[string]uint64
	current atomic.Pointer[cell.EvacuatedZones]
}

func newEvacuations(log *slog.Logger, s tally.Scope) *evacuations {
	e := &evacuations{log: log, gauge: s.Gauge("evacuated_zones"), offsets: make(map[string]uint64)}
	e.gauge.Update(0)
	return e
}

// apply applies the records of a page, all at once. The newest records replace the set: a
// zone without one is back in service, although nobody may have read that.
func (e *evacuations) apply(p worklog.Page) {
	if !p.NewestOnly && len(p.Records) == 0 {
		return
	}
	next := make(map[string]uint64)
	if !p.NewestOnly {
		maps.Copy(next, e.offsets)
	}
	for _, r := range p.Records {
		if zone, ok := platform.EvacuatedZone(r.Key); ok {
			e.applyRecord(next, zone, r)
		}
	}
	e.offsets = next
	e.publish(cell.NewEvacuatedZones(slices.Collect(maps.Keys(next))...))
}

// applyRecord applies the record of a zone to a set. After a read of the newest records,
// older ones may be read again; they change nothing.
func (e *evacuations) applyRecord(set map[string]uint64, zone string, r platform.Record) {
	known, present := set[zone]
	switch {
	case zone == "":
		e.log.Warn("node: The record of an evacuation names no zone and is ignored.", "key", r.Key, "offset", r.Offset)
	case present && r.Offset < known:
	case len(r.Value) == 0:
		delete(set, zone)
	case !present && len(set) >= maxEvacuatedZones:
		e.log.Error("node: An evacuation is ignored, since there are too many.", "zone", zone, "offset", r.Offset, "max", maxEvacuatedZones)
	default:
		set[zone] = r.Offset
	}
}

// publish replaces the set unless nothing has changed.
func (e *evacuations) publish(next *cell.EvacuatedZones) {
	last := e.current.Load()
	began, ended := next.Without(last), last.Without(next)
	if len(began)+len(ended) == 0 {
		return
	}
	e.current.Store(next)
	e.gauge.Update(float64(next.Len()))
	e.log.Info("node: The evacuated availability zones have changed.", "zones", next.Len(), "began", firstZones(began), "ended", firstZones(ended))
}

// firstZones returns the first zones, as many as a log line names.
func firstZones(zones []string) []string { return zones[:min(len(zones), maxLoggedZones)] }

// evacuatedZones returns the evacuated zones, and a time such that every record stored
// before it has been applied; ok is false before the first read.
func (n *Node) evacuatedZones() (zones *cell.EvacuatedZones, asOf time.Duration, ok bool) {
	asOf, ok = n.desiredReader.AsOf() // first, so that the set is not older than that
	return n.evacuations.current.Load(), asOf, ok
}

// evacuatedZonesProven reports whether an owner on this node could send start orders, as
// far as the age of its evacuated zones goes.
func (n *Node) evacuatedZonesProven() bool {
	_, asOf, ok := n.evacuatedZones()
	return owner.ZonesProven(n.clock.Now(), asOf, ok, config.Millis(n.settings.Bounds.EvacuationMs))
}

// requestTakeoverForReads asks the other nodes to take over from an owner that cannot read
// the evacuated zones or the work topic. At a slow store a new owner would fare no better.
func (n *Node) requestTakeoverForReads(token int64) {
	if acceptance.IsSlow(n.StoreAnswerTime()) {
		return
	}
	n.log.Warn("owner: Other nodes are asked to take over, since this one cannot read the evacuated zones or the work topic.", "token", token)
	n.pool.RequestTakeover(token)
}

// desiredReaderOptions returns the options of the reader of the desired state. If an
// evacuation has to be in effect within a bound, the read after a failed one does not wait
// for a record: its answer proves at once which zones are evacuated.
func (n *Node) desiredReaderOptions() worklog.Options {
	o := worklog.Options{Topic: platform.TopicDesired, Wait: desiredLongPollTimeout, TimeoutMargin: desiredTimeoutMargin, Meter: n.storeMeter}
	if bound := config.Millis(n.settings.Bounds.EvacuationMs); bound > 0 {
		o.Wait = min(o.Wait, owner.MaxEvacuationAge(bound)/readsPerEvacuationAge)
		o.RetryAtOnce = true
	}
	return o
}
