package scheduler

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Summary holds the totals of a shard: what it has, uses and waits for.
type Summary struct {
	Hosts, ReadyHosts, Quarantined int
	// Capacity is the sum over all hosts; Free is the free capacity of the
	// hosts that accept tasks.
	Capacity, Free resource.Vector
	// LargestFree is the free capacity of the host with the most free
	// processors, LargestHost the largest capacity. Both compare processors
	// first and then memory.
	LargestFree, LargestHost resource.Vector
	// Waiting counts startable tasks, Running the attempts that run or may run.
	Waiting, Running int
	// Reservations counts the reservations of jobs that waited for MaxWait and
	// of urgent tasks.
	Reservations int
	// Limits is keyed by the name of the limit.
	Limits map[string]LimitUse
}

// LimitUse is the state of a limit in this shard, in its units. Waiting is what
// the startable tasks take, for each size at most as many tasks as the hosts that
// accept tasks would hold if they were empty. Units beyond that are of no use
// here: a shard that had lost its hosts kept all units of a limit for its queue,
// and the tasks waited in every shard.
type LimitUse struct {
	Allotted, Used, Waiting int64
}

// Summary returns the totals as of the last event or decision. Its cost grows
// with hosts, teams, limits, the sizes of the waiting tasks and spanning gangs,
// not with the other jobs. A host whose quarantine ended counts as ready from the
// next Decide on.
func (s *Scheduler) Summary() Summary {
	sum := Summary{
		Hosts: len(s.hosts), Quarantined: s.health.Count(), Capacity: s.capacity,
		Reservations: len(s.reservations) + len(s.urgentReservations), Limits: make(map[string]LimitUse, len(s.limits)),
	}
	ready := newReadyCapacities()
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		if h.ready {
			ready.add(h.view.Capacity)
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
		sum.Limits[name] = LimitUse{Allotted: l.allotted, Used: l.used + l.heldUnits}
	}
	for _, t := range s.teamList {
		sum.Waiting += int(t.demand)
		if l := t.limit; l != nil {
			use := sum.Limits[l.spec.Name]
			use.Waiting += t.sizeDemands.usableUnits(ready)
			sum.Limits[l.spec.Name] = use
		}
	}
	for l, j := range s.firstSpanningByLimit() {
		if j.cost < uncoverableCost && j.hold == nil {
			use := sum.Limits[l.spec.Name]
			use.Waiting += j.cost * ready.held(int64(j.waiting), j.spec.Size)
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
