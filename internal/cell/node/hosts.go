package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
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
		OnFault: func() { t.owner.Abort("the host list cannot be applied") },
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
		h, ok := t.entries.decode(n.log, r)
		if !ok {
			t.markMissing(r.Key, n.clock.Now())
			continue
		}
		t.listedHosts[r.Key] = h
		delete(t.missingSince, r.Key)
	}
	t.dropMissing(n.clock.Now())
	t.setHosts(ctx)
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

// setHosts passes the listed hosts to the owner, and with the first list the hosts that
// were stored before the term.
func (t *term) setHosts(ctx context.Context) {
	listed := slices.Collect(maps.Values(t.listedHosts))
	slices.SortFunc(listed, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	t.owner.SetHosts(ctx, t.storedHosts, listed)
	t.storedHosts = nil
}
