package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// reserve reserves capacity for n tasks of a gang that can start at the time
// until.
func (h *host) reserve(g *group, n int, until time.Duration) {
	h.reserved = h.reserved.Add(g.size.Scale(int64(n)))
	if h.reservedUntil == 0 || until < h.reservedUntil {
		h.reservedUntil = until
	}
}

// expectedEnd is when a run is expected to end and the resources that it then
// frees.
type expectedEnd struct {
	at   time.Duration
	size resource.Vector
}

// overdueExtension is how much longer a run is expected to take once it has
// exceeded its estimate.
const overdueExtension = 500 * time.Millisecond

// neverEnds is the expected end of long-running tasks.
const neverEnds = time.Duration(math.MaxInt64)

// expectedEnds returns the expected ends of a host's runs, sorted by time.
func (s *Scheduler) expectedEnds(h *host) []expectedEnd {
	if h.expectedEnds == nil {
		h.expectedEnds = make([]expectedEnd, 0, len(h.runs))
		for _, a := range h.runs {
			end := max(a.orderedAt+a.task.group.estimate(h), s.now+overdueExtension)
			if a.task.group.step.LongRunning {
				end = neverEnds
			}
			h.expectedEnds = append(h.expectedEnds, expectedEnd{end, a.task.group.size})
		}
		slices.SortFunc(h.expectedEnds, func(a, b expectedEnd) int {
			if c := cmp.Compare(a.at, b.at); c != 0 {
				return c
			}
			return cmp.Compare(a.size.MilliCPU, b.size.MilliCPU)
		})
	}
	return h.expectedEnds
}

// roomGain is the number of additional gang members that fit on a host from a
// time on.
type roomGain struct {
	at    time.Duration
	host  int
	extra int
}

// roomPlan is the capacity that a gang is expected to get.
type roomPlan struct {
	hosts []*host
	// tasksPerHost is how many members fit on each host at the time at.
	tasksPerHost []int
	at           time.Duration
}

// planRoom returns where and when n tasks of a gang are expected to fit on the approved
// hosts, or nil if they never do. A gang that wants one rack gets it if it does not wait
// for it longer than it would lose on several.
func (s *Scheduler) planRoom(g *group, n int) *roomPlan {
	hosts := s.usableHosts(g)
	plan := s.earliestRoom(g, n, hosts)
	if plan == nil || !g.step.RackLocal {
		return plan
	}
	if rack := s.earliestRackPlan(g, n, hosts); rack != nil && rack.at <= g.rackDeadline(plan.at) {
		return rack
	}
	return plan
}

// earliestRoom returns the earliest time at which n tasks of a gang fit on the given
// hosts, or nil if they never do.
func (s *Scheduler) earliestRoom(g *group, n int, hosts []*host) *roomPlan {
	plan := &roomPlan{hosts: hosts, tasksPerHost: make([]int, len(hosts)), at: s.now}
	var gains []roomGain
	total := 0
	for i, h := range hosts {
		free := h.free().Sub(h.reserved)
		plan.tasksPerHost[i] = g.membersIn(free)
		total += plan.tasksPerHost[i]
		counted := plan.tasksPerHost[i]
		for _, r := range s.expectedEnds(h) {
			if r.at == neverEnds {
				break
			}
			free = free.Add(r.size)
			if k := g.membersIn(free); k > counted {
				gains = append(gains, roomGain{r.at, i, k - counted})
				counted = k
			}
		}
	}
	slices.SortFunc(gains, func(a, b roomGain) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	for _, o := range gains {
		if total >= n {
			break
		}
		total += o.extra
		plan.tasksPerHost[o.host] += o.extra
		plan.at = o.at
	}
	if total < n {
		return nil
	}
	return plan
}

// reserve reserves the capacity of a plan for n tasks of a gang, on as few hosts as
// possible, against work that would not end before.
func (p *roomPlan) reserve(g *group, n int) {
	order := make([]int, len(p.hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.tasksPerHost[b], p.tasksPerHost[a]) })
	for _, i := range order {
		if k := min(p.tasksPerHost[i], n); k > 0 {
			p.hosts[i].reserve(g, k, p.at)
			n -= k
		}
	}
}
