package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// apply passes one ledger event to the shards that it concerns. The caller must
// hold s.mu.
func (s *shards) apply(e ledger.Event) {
	offset := e.RecordOrigin().Offset
	switch ev := e.(type) {
	case ledger.JobAccepted:
		s.acceptedAt[ev.Job.ID] = s.node.clock.Now()
		for _, p := range ev.Parts {
			if o := s.owned[p.Shard]; o != nil && offset >= o.nextOffset {
				o.dispatcher.AddJob(scheduler.JobAdded{Job: ev.Job, First: p.First, Count: p.Count,
					Spanning: spanning(ev.Job, ev.Parts), Offset: offset}, false)
				s.node.gangs.add(o, ev.Job, ev.Parts)
			}
		}
	case ledger.JobCancelled:
		for _, p := range ev.Parts {
			if o := s.owned[p.Shard]; o != nil && offset >= o.nextOffset {
				o.dispatcher.Cancel(ev.Job)
			}
		}
	case ledger.JobFinished:
		delete(s.acceptedAt, ev.Job)
		s.node.gangs.remove(ev.Job)
	case ledger.TasksMoved:
		s.applyMove(ev, offset)
	case ledger.HostsChanged:
		if o := s.owned[ev.Shard]; o != nil && offset >= o.nextOffset {
			o.dispatcher.SetHosts(s.hostEntries(ev.Shard, s.node.replica.Hosts(ev.Shard)))
		}
	case ledger.UnitsTransferred, ledger.LimitChanged:
		s.refreshAllotments()
	case ledger.ConfigurationAccepted:
		s.refreshContract()
	case ledger.Restored:
		s.restart()
	}
}

// applyMove adds moved tasks to their new home shard. The old home shard removed
// them before it appended the move.
func (s *shards) applyMove(ev ledger.TasksMoved, offset uint64) {
	o := s.owned[ev.ToShard]
	job, ok := s.node.replica.Job(ev.Job)
	if o == nil || offset < o.nextOffset || !ok {
		return
	}
	added := scheduler.JobAdded{Job: job.Job, First: ev.First, Count: ev.Count, Age: s.age(ev.Job)}
	o.dispatcher.AddJob(added, false)
	if job.Cancelled != 0 {
		o.dispatcher.Cancel(ev.Job)
	}
}

// refreshAllotments passes the usable units of each owned shard to its dispatcher.
func (s *shards) refreshAllotments() {
	for _, o := range s.owned {
		o.dispatcher.SetAllotments(s.node.usableUnits(o, s.node.replica.AllotmentState(o.name)))
	}
}

// refreshContract passes the scheduling contract of the current configuration to
// the dispatchers of all owned shards.
func (s *shards) refreshContract() {
	contract := s.node.configurations.get().contract
	for _, o := range s.owned {
		o.dispatcher.SetContract(contract)
	}
	s.refreshAllotments()
}

// restart restarts all owned shards after the ledger was restored from a
// snapshot, because the events skipped by the snapshot are not known.
func (s *shards) restart() {
	for _, o := range s.owned {
		go func() {
			s.node.log.Warn("Shard is restarted because the ledger was restored from a snapshot.", "shard", o.name)
			s.stop(shardTokenOf(o))
			s.start(shardTokenOf(o))
		}()
	}
}

// hostListRead applies a newly read host list to the owned shards: leaving hosts
// are passed to the dispatchers and new hosts are logged.
func (s *shards) hostListRead() {
	for _, o := range s.all() {
		o.dispatcher.SetHosts(s.hostEntries(o.name, s.node.replica.Hosts(o.name)))
		s.addListedHosts(o.name)
	}
}

// hostEntries combines the logged host set of a shard with the host list. The list
// may lag behind, so a host that is missing from it counts as leaving, which
// affects new tasks only.
func (s *shards) hostEntries(shard string, logged []ledger.HostEntry) []dispatch.HostEntry {
	listed := map[string]hostlist.Host{}
	current := s.node.hosts.shard(shard)
	for _, h := range current {
		listed[h.ID] = h
	}
	out := make([]dispatch.HostEntry, 0, len(logged))
	for _, h := range logged {
		entry := dispatch.HostEntry{ID: h.ID, Address: h.Address, Zone: h.Zone, Region: h.Region, Rack: h.Rack, Capacity: h.Capacity}
		if l, ok := listed[h.ID]; ok {
			entry.Address, entry.Leaving = l.Address, l.Leaving
		} else if len(current) > 0 {
			entry.Leaving = true
		}
		out = append(out, entry)
	}
	return out
}

// addListedHosts appends the changes of the host set of a shard to the log: hosts
// of the host list that are new or changed, and hosts that the dispatcher
// removed.
func (s *shards) addListedHosts(shard string) {
	o := s.get(shard)
	if o == nil {
		return
	}
	record := &ledgerv1.HostSet{Shard: shard, Token: o.token}
	logged := map[string]ledger.HostEntry{}
	for _, h := range s.node.replica.Hosts(shard) {
		logged[h.ID] = h
	}
	for _, h := range s.node.hosts.shard(shard) {
		if known, ok := logged[h.ID]; ok && known.Address == h.Address && known.Capacity == h.Capacity {
			continue
		}
		record.Add = append(record.Add, &ledgerv1.HostEntry{
			Id: h.ID, Address: h.Address, Zone: h.Zone, Region: h.Region, Rack: h.Rack,
			Capacity: &ledgerv1.Vector{MilliCpu: h.Capacity.MilliCPU, MemoryMib: h.Capacity.MemoryMiB, Accelerators: h.Capacity.Accelerators},
		})
	}
	record.Remove = o.dispatcher.RemovedHosts()
	if len(record.Add)+len(record.Remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := recorder{s.node.logClient}.appendEffective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_HostSet{HostSet: record}})
	if err != nil {
		s.node.log.Debug("Host set could not be appended to the log.", "shard", shard, "error", err)
	}
}
