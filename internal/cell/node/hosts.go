package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// hostsLongPollTimeout is how long the store may hold a read of the hosts topic
	// open when there is no new record.
	hostsLongPollTimeout = time.Second
	// hostsBatchInterval is the wait after a read of the hosts topic that returned
	// records, so that the next read returns the records of many hosts.
	hostsBatchInterval = 250 * time.Millisecond
	// missingHostTimeout is how long a host still counts as listed after its entry
	// has disappeared from the topic.
	missingHostTimeout = 2500 * time.Millisecond
)

// followHosts follows the hosts topic of the platform during a term.
func (n *Node) followHosts(ctx context.Context, t *term) {
	f := worklog.NewTopicReader(n.store, n.clock, logging.WithComponent(n.log, "hosts"), worklog.Options{
		Topic: platform.TopicHosts, Wait: hostsLongPollTimeout, BatchInterval: func() time.Duration { return hostsBatchInterval }, Meter: n.storeMeter,
	}, func(p worklog.Page) { n.applyHosts(ctx, t, p) })
	f.Run(ctx)
}

// applyHosts applies records of the hosts topic. After a read of the newest
// records only, every host that is not among them counts as missing.
func (n *Node) applyHosts(ctx context.Context, t *term, p worklog.Page) {
	if p.NewestOnly {
		for id := range t.listedHosts {
			t.markMissing(id, n.clock.Now())
		}
	}
	for _, r := range p.Records {
		if len(r.Value) == 0 {
			t.markMissing(r.Key, n.clock.Now())
			continue
		}
		h, err := platform.DecodeHost(r.Key, r.Value)
		if err != nil {
			n.log.Warn("hosts: The entry of a host is invalid; the host counts as missing.", "error", err)
			t.markMissing(r.Key, n.clock.Now())
			continue
		}
		t.listedHosts[r.Key] = h
		delete(t.missingSince, r.Key)
	}
	t.dropMissing(n.clock.Now())
	n.storeAndSetHosts(ctx, t)
}

// markMissing notes that the entry of a host is missing. The host is not dropped at
// once: entries that expire while the store is unavailable come back soon after if
// the host is alive.
func (t *term) markMissing(id string, now time.Duration) {
	if _, ok := t.listedHosts[id]; !ok {
		return
	}
	if _, ok := t.missingSince[id]; !ok {
		t.missingSince[id] = now
	}
}

// dropMissing drops the hosts whose entries have not come back within
// missingHostTimeout.
func (t *term) dropMissing(now time.Duration) {
	for id, at := range t.missingSince {
		if now > at+missingHostTimeout {
			delete(t.listedHosts, id)
			delete(t.missingSince, id)
		}
	}
}

// storeAndSetHosts passes the listed hosts to the owner. New hosts, and hosts with a
// new address, are stored first, since a later owner has to know on which hosts there
// may be runs.
func (n *Node) storeAndSetHosts(ctx context.Context, t *term) {
	listed := make([]cell.Host, 0, len(t.listedHosts))
	for _, h := range t.listedHosts {
		listed = append(listed, h)
	}
	var records []platform.Record
	for _, h := range listed {
		old, ok := t.storedHosts[h.ID]
		if !ok || old.Spec.Address != h.Address {
			t.storedHosts[h.ID] = registry.Host{Spec: h}
			records = append(records, registry.HostRecord(t.storedHosts[h.ID]))
		}
	}
	slices.SortFunc(listed, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	if len(records) > 0 {
		if err := t.claim.journal.Store(ctx, records); err != nil {
			n.log.Warn("hosts: The append of new hosts failed.", "count", len(records), "error", err)
			return
		}
	}
	if t.hostsLoaded {
		known := t.owner.PolledHosts()
		maps.DeleteFunc(t.storedHosts, func(id string, _ registry.Host) bool {
			_, used := t.listedHosts[id]
			return !used && !known[id]
		})
	}
	t.hostsLoaded = true
	t.owner.SetHosts(ctx, t.storedHosts, listed)
}
