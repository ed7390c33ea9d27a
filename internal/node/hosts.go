package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
)

// hostView is the latest host list, divided into the workers of each shard and
// the runners.
type hostView struct {
	mu      sync.RWMutex
	workers map[string][]hostlist.Host
	shards  []ownership.Shard
	runners []hostlist.Host
	readAt  time.Time
}

// shardOf returns the shard of a worker. Each availability zone is divided into
// shardsPerZone shards by a hash of the rack, so that a rack is never split.
func shardOf(h hostlist.Host, shardsPerZone int) string {
	part := xxhash.Sum64String(h.Rack) % uint64(shardsPerZone)
	return fmt.Sprintf("%s/%d", h.Zone, part)
}

// update replaces the view with a newly read host list.
func (v *hostView) update(hosts []hostlist.Host, shardsPerZone int) {
	workers, runners := map[string][]hostlist.Host{}, []hostlist.Host(nil)
	var shards []ownership.Shard
	for _, h := range hosts {
		if h.Role == hostlist.RoleRunner {
			runners = append(runners, h)
			continue
		}
		name := shardOf(h, shardsPerZone)
		if workers[name] == nil {
			shards = append(shards, ownership.Shard{Name: name, Zone: h.Zone})
		}
		workers[name] = append(workers[name], h)
	}
	slices.SortFunc(shards, func(a, b ownership.Shard) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.workers, v.shards, v.runners, v.readAt = workers, shards, runners, time.Now()
}

// shard returns the workers of a shard in the host list.
func (v *hostView) shard(name string) []hostlist.Host {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.workers[name]
}

// zoneOf returns the availability zone of a shard, or "" if no listed host is in
// the shard.
func (v *hostView) zoneOf(name string) string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if hosts := v.workers[name]; len(hosts) > 0 {
		return hosts[0].Zone
	}
	return ""
}

// regionOf returns the region of a shard, or "" if no listed host is in the
// shard.
func (v *hostView) regionOf(name string) string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if hosts := v.workers[name]; len(hosts) > 0 {
		return hosts[0].Region
	}
	return ""
}

// shardList returns the shards that have workers in the host list.
func (v *hostView) shardList() []ownership.Shard {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.shards
}

// hostLoop reads the host list periodically. While the list is unavailable, the
// latest view stays in use.
func (n *Node) hostLoop(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Platform.HostListInterval)
	defer ticker.Stop()
	for {
		n.readHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// allShards returns the shards in the host list and those that were ever claimed:
// a shard without hosts still has jobs that must move to other shards.
func (n *Node) allShards() []ownership.Shard {
	shards := append([]ownership.Shard(nil), n.hosts.shardList()...)
	listed := map[string]bool{}
	for _, s := range shards {
		listed[s.Name] = true
	}
	for _, c := range n.replica.Claims() {
		if zone, _, ok := strings.Cut(c.Shard, "/"); ok && !listed[c.Shard] {
			shards = append(shards, ownership.Shard{Name: c.Shard, Zone: zone})
		}
	}
	return shards
}

// readHosts reads the host list once and passes it to the request path, the
// ownership manager and the shards.
func (n *Node) readHosts(ctx context.Context) {
	hosts, err := n.hostList.Hosts(ctx)
	if err != nil {
		n.log.Debug("Host list could not be read.", "error", err)
		return
	}
	n.hosts.update(hosts, n.settings.Cluster.ShardsPerZone)
	n.requests.SetRunners(n.hosts.runners)
	n.ownership.shardsKnown(n.allShards())
	n.shards.hostListRead()
}
