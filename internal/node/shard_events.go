package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// apply passes one ledger event to the shards that it concerns. The lock must
// be held.
func (s *shards) apply(e ledger.Event) {
	offset := e.From().Offset
	switch ev := e.(type) {
	case ledger.JobAccepted:
		s.seen[ev.Job.ID] = s.node.clock.Now()
		for _, p := range ev.Parts {
			if o := s.owned[p.Shard]; o != nil && offset >= o.next {
				o.run.AddJob(scheduler.JobAdded{Job: ev.Job, First: p.First, Count: p.Count,
					Spanning: spanning(ev.Job, ev.Parts), Offset: offset}, false)
				s.node.gangs.add(o, ev.Job, ev.Parts)
			}
		}
	case ledger.JobCancelled:
		for _, p := range ev.Parts {
			if o := s.owned[p.Shard]; o != nil && offset >= o.next {
				o.run.Cancel(ev.Job)
			}
		}
	case ledger.JobFinished:
		delete(s.seen, ev.Job)
		s.node.gangs.remove(ev.Job)
	case ledger.TasksMoved:
		s.applyMove(ev, offset)
	case ledger.HostsChanged:
		if o := s.owned[ev.Shard]; o != nil && offset >= o.next {
			o.run.SetHosts(s.entries(ev.Shard, s.node.replica.Hosts(ev.Shard)))
		}
	case ledger.UnitsTransferred, ledger.LimitChanged:
		s.refreshAllotments()
	case ledger.ConfigurationAccepted:
		s.refreshContract()
	case ledger.Restored:
		s.restart()
	}
}

// applyMove adds moved tasks to their new home. The old home took them out
// before it appended the move.
func (s *shards) applyMove(ev ledger.TasksMoved, offset uint64) {
	o := s.owned[ev.To]
	job, ok := s.node.replica.Job(ev.Job)
	if o == nil || offset < o.next || !ok {
		return
	}
	added := scheduler.JobAdded{Job: job.Job, First: ev.First, Count: ev.Count, Age: s.age(ev.Job)}
	o.run.AddJob(added, false)
	if job.Cancelled != 0 {
		o.run.Cancel(ev.Job)
	}
}

// refreshAllotments passes the units of each shard on.
func (s *shards) refreshAllotments() {
	for _, o := range s.owned {
		o.run.SetAllotments(s.node.usableUnits(o, s.node.replica.AllotmentState(o.name)))
	}
}

// refreshContract passes a new configuration on.
func (s *shards) refreshContract() {
	contract := s.node.configurations.get().contract
	for _, o := range s.owned {
		o.run.SetContract(contract)
	}
	s.refreshAllotments()
}

// restart begins anew with all shards after the ledger was restored from a
// snapshot, since the events in between are not known.
func (s *shards) restart() {
	for _, o := range s.owned {
		go func() {
			s.node.log.Warn("Shard starts anew after a gap in the log.", "shard", o.name)
			s.stop(ownerToken(o))
			s.start(ownerToken(o))
		}()
	}
}

// hostsListed notes that the host list was read: leaving hosts are passed on
// and new hosts are logged.
func (s *shards) hostsListed() {
	for _, o := range s.all() {
		o.run.SetHosts(s.entries(o.name, s.node.replica.Hosts(o.name)))
		s.addListedHosts(o.name)
	}
}

// entries combines the logged host set of a shard with what the list says. A
// host that the list does not show may be lagging, so it counts as leaving only
// for new tasks.
func (s *shards) entries(shard string, logged []ledger.HostEntry) []dispatch.HostEntry {
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

// addListedHosts logs the hosts of the list that are not in the host set.
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
	record.Remove = o.run.TakeRemoved()
	if len(record.Add)+len(record.Remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := recorder{s.node.logClient}.effective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_HostSet{HostSet: record}})
	if err != nil {
		s.node.log.Debug("Host set was not logged.", "shard", shard, "error", err)
	}
}
