package scheduler

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Summary tells other parts what a shard has and wants.
type Summary struct {
	Hosts, ReadyHosts, Quarantined int
	// Capacity is that of all hosts; Free is the room on hosts that take tasks.
	Capacity, Free resource.Vector
	// LargestFree is the host with the most free processors, LargestHost the
	// largest capacity, compared by processors and then by memory.
	LargestFree, LargestHost resource.Vector
	// Waiting counts startable tasks, Running the attempts that run or may run.
	Waiting, Running int
	// Reservations counts the aged and urgent reservations.
	Reservations int
	// Limits is by limit name.
	Limits map[string]LimitUse
}

// LimitUse is the state of a limit in this shard, in its contract units.
type LimitUse struct {
	Allotted, Used, Waiting int64
}

// Summary returns the totals as of the last event or decision. Its cost grows
// with hosts, teams and limits, not with jobs. A host whose quarantine ended
// counts as ready from the next Decide on.
func (s *Scheduler) Summary() Summary {
	sum := Summary{
		Hosts: len(s.hosts), Quarantined: s.health.Count(), Capacity: s.capacity,
		Reservations: len(s.reservations) + len(s.urgent), Limits: make(map[string]LimitUse, len(s.limits)),
	}
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		sum.Running += len(h.running)
		sum.LargestHost = larger(sum.LargestHost, h.view.Capacity)
		if h.ready && !h.free().IsNegative() {
			sum.ReadyHosts++
			sum.Free = sum.Free.Add(h.free())
			sum.LargestFree = larger(sum.LargestFree, h.view.Free)
		}
	}
	for name, l := range s.limits {
		sum.Limits[name] = LimitUse{Allotted: l.allotted, Used: l.used + l.held}
	}
	for _, t := range s.teamList {
		sum.Waiting += int(t.wanted)
		if l := t.limit; l != nil {
			use := sum.Limits[l.spec.Name]
			use.Waiting += t.wantedUnits
			sum.Limits[l.spec.Name] = use
		}
	}
	for l, j := range s.firstWaiting() {
		if j.cost < uncoverable && j.hold == nil {
			use := sum.Limits[l.spec.Name]
			use.Waiting += j.cost * int64(j.waiting)
			sum.Limits[l.spec.Name] = use
		}
	}
	return sum
}

func larger(a, b resource.Vector) resource.Vector {
	if b.MilliCPU > a.MilliCPU || (b.MilliCPU == a.MilliCPU && b.MemoryMiB > a.MemoryMiB) {
		return b
	}
	return a
}
