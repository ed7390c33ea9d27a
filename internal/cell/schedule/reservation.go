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

const (
	// longestReservedWait is how long a submission of which nothing runs waits while gangs
	// reserve the room for it and most of the cell is idle. Work for which there is room
	// has to start within 3 s, a call for advice included.
	longestReservedWait = time.Second
	// quietPeriod is how long no submission has arrived until that holds. While they
	// arrive, a gang would never get its room if each took some of it.
	quietPeriod = 5 * time.Second
)

// mayIgnoreReservations reports whether a group may use the room that is reserved for
// gangs. Long-running tasks always may. Otherwise, only the first task, or the gang, of a
// submission may, if nothing of it has run for long while most of the cell is idle.
func (s *Scheduler) mayIgnoreReservations(g *group) bool {
	if g.step.LongRunning {
		return true
	}
	return s.mostlyIdle && s.now >= s.newestArrival+quietPeriod && !g.job.hasRuns() && s.now >= s.idleSince(g.job)+longestReservedWait
}

// placeEntry places a waiting group, which nothing is kept from for gangs if it may ignore
// reservations.
func (s *Scheduler) placeEntry(e queueEntry, reservingGangs *int) {
	g := e.group
	g.ignoresReservations = s.mayIgnoreReservations(g)
	if g.ignoresReservations {
		g.job.team.withoutHold(func() { s.place(e, reservingGangs) })
	} else {
		s.place(e, reservingGangs)
	}
}

// idleSince returns since when nothing of a job without runs runs that could.
func (s *Scheduler) idleSince(j *job) time.Duration {
	if j.idleSinceIn == s.decision {
		return j.idleSince
	}
	j.idleSinceIn, j.idleSince = s.decision, 0
	for _, g := range s.examine(j) {
		if !g.ready {
			continue
		}
		for _, t := range g.tasks {
			j.idleSince = max(j.idleSince, t.waitingSince)
		}
	}
	return j.idleSince
}

// expectedEnd is when a run is expected to end and the resources that it then
// frees.
type expectedEnd struct {
	at   time.Duration
	size resource.Vector
}

// expectedEnds returns the expected ends of a host's runs, sorted by time. Runs of
// long-running steps have none.
func (s *Scheduler) expectedEnds(h *host) []expectedEnd {
	if h.expectedEnds == nil {
		h.expectedEnds = make([]expectedEnd, 0, len(h.runs))
		for _, a := range h.runs {
			if !a.task.group.step.LongRunning {
				h.expectedEnds = append(h.expectedEnds, expectedEnd{s.expectedEnd(a), a.task.group.size})
			}
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

// expectedEnd returns when a run is expected to end.
func (s *Scheduler) expectedEnd(a *taskRun) time.Duration { return s.now + s.remaining(a).Median }

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

// minPromiseOverrun is the least time after which a promise that was not kept is given up.
const minPromiseOverrun = 5 * time.Second

// promise is what a gang was first expected to get.
type promise struct {
	madeAt, at time.Duration
	hosts      []*host
}

// givenUp reports whether the gang should have started so long ago that it looks for room
// elsewhere.
func (p *promise) givenUp(now time.Duration) bool {
	return now >= p.at+max(p.at-p.madeAt, minPromiseOverrun)
}

// planRoom returns where and when n tasks of a gang are expected to fit on the approved
// hosts, or nil if they never do. From the promised time on, the gang waits for the
// promised hosts, where nothing else starts any more.
func (s *Scheduler) planRoom(g *group, n int) *roomPlan {
	if p := g.promise; p != nil && s.now >= p.at {
		if p.givenUp(s.now) {
			g.promise = nil
		} else if plan := s.earliestRoom(g, n, s.stillUsable(g, p.hosts)); plan != nil {
			return plan
		}
	}
	hosts := s.usableHosts(g)
	plan := s.earliestRoom(g, n, hosts)
	if plan == nil || !g.step.RackLocal {
		return plan
	}
	// A gang that wants one rack gets it if it does not wait for it longer than it would
	// lose on several.
	if rack := s.earliestRackPlan(g, n, hosts); rack != nil && rack.at <= s.rackDeadline(g, plan.at) {
		return rack
	}
	return plan
}

// stillUsable returns those of the hosts that take tasks of a group.
func (s *Scheduler) stillUsable(g *group, hosts []*host) (out []*host) {
	for _, h := range hosts {
		if s.eligible(g, h) && g.approved(h) {
			out = append(out, h)
		}
	}
	return out
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
// possible, against work that would not end before. The time that was promised first is
// kept to, so that work which takes longer than estimated delays the gang only once.
func (s *Scheduler) reserve(p *roomPlan, g *group, n int) {
	if g.promise == nil {
		g.promise = &promise{madeAt: s.now, at: p.at}
	}
	g.promise.hosts = g.promise.hosts[:0]
	order := make([]int, len(p.hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(p.tasksPerHost[b], p.tasksPerHost[a]) })
	for _, i := range order {
		if k := min(p.tasksPerHost[i], n); k > 0 {
			p.hosts[i].reserve(g, k, min(p.at, g.promise.at))
			g.promise.hosts = append(g.promise.hosts, p.hosts[i])
			n -= k
		}
	}
}
