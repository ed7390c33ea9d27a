package owner

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// readAgeMargin is how long before Options.EvacuationBound a read of the evacuated zones
	// is too old for a start order to be sent, or half of the bound if that is less, and
	// likewise for Options.CancelBound. An order is in flight for up to orderTimeout; the rest
	// allows for a process that is paused between the check and the call.
	readAgeMargin = orderTimeout + 300*time.Millisecond
	// heldStartsTimeout is how long starts are held until other nodes are asked to take
	// over, and the time between two such requests.
	heldStartsTimeout = time.Second
	// maxZoneLines bounds the log lines about one change of the evacuated zones.
	maxZoneLines = 20
	// withheldLogInterval is the shortest time between two lines about start orders that
	// were withheld.
	withheldLogInterval = time.Second
)

// evacuations is what the owner knows of evacuated availability zones.
type evacuations struct {
	// announced are the zones whose evacuation has been logged.
	announced *cell.EvacuatedZones
	// heldSince is since when no starts are planned; zero while they are. requestedAt is
	// when other nodes were last asked to take over.
	heldSince, requestedAt time.Duration
	withheld               *rate.Sometimes
}

func newEvacuations() evacuations {
	return evacuations{withheld: &rate.Sometimes{Interval: withheldLogInterval}}
}

// MaxEvacuationAge returns how old the last read of the evacuated zones may be when a start
// order is sent, given the time within which an evacuation has to be in effect.
func MaxEvacuationAge(bound time.Duration) time.Duration { return maxReadAge(bound) }

// maxReadAge returns how old a read may be when a start order is sent, given the time within
// which what the read shows has to be in effect.
func maxReadAge(bound time.Duration) time.Duration { return max(bound-readAgeMargin, bound/2) }

// ZonesProven reports whether a read of the evacuated zones, as of a time, is recent enough for
// start orders to be sent. read is false if there was none; a bound of zero requires no read.
func ZonesProven(now, asOf time.Duration, read bool, bound time.Duration) bool {
	return bound == 0 || read && now < asOf+MaxEvacuationAge(bound)
}

// evacuated returns the evacuated zones as this process has read them, and whether the
// read is recent enough for start orders to be sent.
func (ow *Owner) evacuated() (zones *cell.EvacuatedZones, proven bool) {
	if ow.options.Evacuated == nil {
		return nil, true
	}
	zones, asOf, ok := ow.options.Evacuated()
	return zones, ZonesProven(ow.options.Clock.Now(), asOf, ok, ow.options.EvacuationBound)
}

// startTimeout returns the time-out of a start order. It is shorter than orderTimeout only
// if the time within which an evacuation or a cancellation has to be in effect is.
func (ow *Owner) startTimeout() time.Duration {
	timeout := orderTimeout
	for _, bound := range []time.Duration{ow.options.EvacuationBound, ow.options.CancelBound} {
		if bound > 0 {
			timeout = min(timeout, bound-maxReadAge(bound))
		}
	}
	return timeout
}

// mayStartIn reports whether a start order may be sent to a host of a zone now. It is
// called right before each order, since orders wait in a queue, and waits for no lock.
func (ow *Owner) mayStartIn(zone string) bool {
	zones, proven := ow.evacuated()
	switch {
	case zones.Has(zone):
		ow.metrics.withheld[withheldEvacuated].Inc(1)
	case !proven:
		ow.metrics.withheld[withheldUnproven].Inc(1)
	default:
		return true
	}
	ow.evacuations.withheld.Do(func() {
		ow.options.Log.Info("Start orders are withheld.", "zone", zone, "evacuated", zones.Has(zone), "zones_proven", proven)
	})
	return false
}

// updateEvacuations passes the evacuated zones to the scheduler, and reports whether the read
// of them is recent enough for starts to be planned. The caller holds ow.mu.
func (ow *Owner) updateEvacuations() (proven bool) {
	zones, proven := ow.evacuated()
	ow.scheduler.SetEvacuated(zones)
	ow.announce(zones)
	now := ow.options.Clock.Now()
	e := &ow.evacuations
	switch {
	case proven && e.heldSince != 0:
		ow.options.Log.Info("The evacuated zones have been read again; tasks start again.", "held", now-e.heldSince)
		e.heldSince = 0
	case !proven && e.heldSince == 0:
		ow.options.Log.Warn("No tasks start: the last read of the evacuated zones is too old.", "max_age", MaxEvacuationAge(ow.options.EvacuationBound))
		e.heldSince, e.requestedAt = now, now
	case !proven && now >= e.requestedAt+heldStartsTimeout && ow.options.RequestTakeover != nil:
		e.requestedAt = now
		ow.runGuarded(ow.options.RequestTakeover) // it must not be called under the lock
	}
	return proven
}

// announce logs the evacuations that have begun or ended since the last call. It waits
// until hosts are known. The caller holds ow.mu.
func (ow *Owner) announce(zones *cell.EvacuatedZones) {
	e := &ow.evacuations
	if zones == e.announced || len(ow.hosts) == 0 {
		return
	}
	began, ended := zones.Without(e.announced), e.announced.Without(zones)
	e.announced = zones
	ow.logZones("The evacuation of an availability zone begins.", began)
	ow.logZones("The evacuation of an availability zone has ended.", ended)
}

func (ow *Owner) logZones(text string, zones []string) {
	for i, zone := range zones {
		if i == maxZoneLines {
			ow.options.Log.Warn(text, "more", len(zones)-i)
			return
		}
		hosts, runs := ow.scheduler.ZoneUsage(zone)
		ow.options.Log.Info(text, "zone", zone, "hosts", hosts, "runs", runs)
	}
}
