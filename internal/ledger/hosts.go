package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// hostSet applies a change of the host set by the owner of the shard.
func (s *State) hostSet(events []Event, o Origin, r *ledgerv1.HostSet) []Event {
	if !s.holds(o, r.Shard, r.Token) {
		return append(events, RecordIgnored{o, "host-set", r.Shard, notHeld})
	}
	hosts := s.Hosts[r.Shard]
	if hosts == nil {
		hosts = map[string]HostEntry{}
		s.Hosts[r.Shard] = hosts
	}
	changed := HostsChanged{Origin: o, Shard: r.Shard}
	for _, id := range r.Remove {
		if _, ok := hosts[id]; ok {
			delete(hosts, id)
			changed.Removed = append(changed.Removed, id)
		}
	}
	for _, added := range r.Add {
		entry, ok := hostEntry(added)
		if _, known := hosts[entry.ID]; !ok || (!known && len(hosts) >= MaxHosts) {
			events = append(events, RecordIgnored{o, "host-set", added.GetId(), "host is not acceptable"})
			continue
		}
		hosts[entry.ID] = entry
		changed.Added = append(changed.Added, entry)
	}
	return append(events, changed)
}

// hostEntry converts a host and reports whether it is well-formed.
func hostEntry(h *ledgerv1.HostEntry) (HostEntry, bool) {
	entry := HostEntry{
		ID: h.GetId(), Address: h.GetAddress(), Zone: h.GetZone(), Region: h.GetRegion(), Rack: h.GetRack(),
		Capacity: resource.Vector{
			MilliCPU: h.GetCapacity().GetMilliCpu(), MemoryMiB: h.GetCapacity().GetMemoryMib(),
			Accelerators: h.GetCapacity().GetAccelerators(),
		},
	}
	ok := validName(entry.ID) && validName(entry.Address) && !entry.Capacity.IsNegative() &&
		len(entry.Zone) <= MaxName && len(entry.Region) <= MaxName && len(entry.Rack) <= MaxName
	return entry, ok
}
