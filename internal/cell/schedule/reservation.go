package schedule

import (
	"cmp"
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

// expectedEnds returns the expected ends of a host's runs, sorted by time. Runs of
// long-running steps have none.
func (s *Scheduler) expectedEnds(h *host) []expectedEnd {
	if h.expectedEnds == nil {
		h.expectedEnds = make([]expectedEnd, 0, len(h.runs))
		for _, a := range h.runs {
			if a.task.group.step.LongRunning {
				continue
			}
			end := max(a.orderedAt+a.task.group.estimate(h), s.now+overdueExtension)
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

// reserveEarliestRoom finds the earliest time at which n tasks of a gang fit on
// the approved hosts. It reserves that capacity against work that would not end
// before then.
func (s *Scheduler) reserveEarliestRoom(g *group, n int) {
	var hosts []*host
	for _, h := range s.approvedHosts(g) {
		if s.eligible(g, h) {
			hosts = append(hosts, h)
		}
	}
	tasksPerHost := make([]int, len(hosts))
	var gains []roomGain
	total := 0
	for i, h := range hosts {
		free := h.free().Sub(h.reserved)
		tasksPerHost[i] = tasksIn(g.size, free)
		total += tasksPerHost[i]
		counted := tasksPerHost[i]
		for _, r := range s.expectedEnds(h) {
			free = free.Add(r.size)
			if k := tasksIn(g.size, free); k > counted {
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
	until := s.now
	for _, o := range gains {
		if total >= n {
			break
		}
		total += o.extra
		tasksPerHost[o.host] += o.extra
		until = o.at
	}
	if total < n {
		return
	}
	s.reserveRoom(g, n, hosts, tasksPerHost, until)
}

// reserveRoom reserves capacity for n tasks of a gang on as few hosts as
// possible.
func (s *Scheduler) reserveRoom(g *group, n int, hosts []*host, tasksPerHost []int, until time.Duration) {
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tasksPerHost[b], tasksPerHost[a]) })
	for _, i := range order {
		if k := min(tasksPerHost[i], n); k > 0 {
			hosts[i].reserve(g, k, until)
			n -= k
		}
	}
}
