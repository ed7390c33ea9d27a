package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// applyHostSet adds hosts to a shard and removes others. Only the
// owner of the shard may do so.
func (s *State) applyHostSet(events []Event, o Origin, r *ledgerv1.HostSet) []Event {
	if !s.isOwner(o, r.Shard, r.Token) {
		return append(events, RecordIgnored{o, "host-set", r.Shard, notOwner})
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
		entry, ok := decodeHost(added)
		if _, known := hosts[entry.ID]; !ok || (!known && len(hosts) >= MaxHosts) {
			events = append(events, RecordIgnored{o, "host-set", added.GetId(), "host entry is invalid or the shard has too many hosts"})
			continue
		}
		hosts[entry.ID] = entry
		changed.Added = append(changed.Added, entry)
	}
	return append(events, changed)
}

// decodeHost converts a host from its record and reports whether it is valid.
func decodeHost(h *ledgerv1.HostEntry) (HostEntry, bool) {
	entry := HostEntry{
		ID: h.GetId(), Address: h.GetAddress(), Zone: h.GetZone(), Region: h.GetRegion(), Rack: h.GetRack(),
		Capacity: resource.Vector{
			MilliCPU: h.GetCapacity().GetMilliCpu(), MemoryMiB: h.GetCapacity().GetMemoryMib(),
			Accelerators: h.GetCapacity().GetAccelerators(),
		},
	}
	ok := isValidName(entry.ID) && isValidName(entry.Address) && !entry.Capacity.IsNegative() &&
		len(entry.Zone) <= MaxNameBytes && len(entry.Region) <= MaxNameBytes && len(entry.Rack) <= MaxNameBytes
	return entry, ok
}
