package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// repairWithin is the part of the gang timeout in which a refused member is
// placed again before the whole gang is stopped.
const repairWithin = 2

// placeGang starts all members of a gang at once, or gathers room for them.
func (s *Scheduler) placeGang(g *group, gangs *int) {
	tasks := g.waitingTasks()
	if g.run != 0 {
		s.repair(g, tasks)
		return
	}
	if len(tasks) < g.left {
		s.waits(g, waitMembers)
		return
	}
	if g.job.team.room(g.step.Size, g.urgent()) < len(tasks) {
		s.waits(g, waitLimit)
		return
	}
	if hosts := s.choose(g, len(tasks), true); hosts != nil {
		s.waits(g, waitNone)
		s.startGang(g, tasks, hosts)
		return
	}
	if g.policy() != nil && len(g.advice.tickets) == 0 {
		s.waits(g, waitAdvice)
		s.askUndecided(g)
		return
	}
	if g.policy() != nil && s.capacityOf(g) < len(tasks) && !s.askUndecided(g) {
		s.waits(g, waitHosts)
		return // no host that the group may use is left out; others must not wait for it
	}
	*gangs++
	if *gangs > max(minGathered, len(s.order)/hostsPerGathered) {
		s.waits(g, waitBehind)
		return
	}
	if hosts := s.choose(g, len(tasks), false); hosts != nil {
		s.waits(g, waitTickets)
		s.renew(g, hosts)
		return
	}
	s.waits(g, waitRoom)
	if g.policy() != nil {
		s.askUndecided(g) // hosts that are not judged yet may have room now
	}
	s.gather(g, len(tasks))
}

// choose returns a host for each of n tasks, or nil. With fresh set, only hosts
// with a valid ticket count.
func (s *Scheduler) choose(g *group, n int, fresh bool) []*host {
	var all []*host
	for _, h := range s.candidates(g) {
		if !s.eligible(g, h) || s.room(g, h) < 1 {
			continue
		}
		if _, ok := g.ticketFor(h, s.now); ok || !fresh {
			all = append(all, h)
		}
	}
	if !g.step.RackLocal {
		return s.fill(g, all, n)
	}
	total := 0
	for _, h := range all {
		total += s.room(g, h)
	}
	if total < n {
		return nil
	}
	var best []*host
	for _, rack := range racks(all) {
		near := slices.DeleteFunc(slices.Clone(all), func(h *host) bool { return h.rack != rack })
		if picked := s.fill(g, near, n); picked != nil && (best == nil || rack == g.step.DataRack) {
			best = picked
		}
	}
	if best == nil && s.largestRack(g) < n {
		return s.fill(g, all, n) // no rack could ever hold the gang
	}
	return best
}

// racks returns the racks of hosts in a fixed order.
func racks(hosts []*host) (out []string) {
	for _, h := range hosts {
		if !slices.Contains(out, h.rack) {
			out = append(out, h.rack)
		}
	}
	slices.Sort(out)
	return out
}

// largestRack returns how many tasks the largest rack holds when it is empty.
func (s *Scheduler) largestRack(g *group) (most int) {
	count := make(map[string]int)
	for _, h := range s.order {
		if s.eligible(g, h) {
			count[h.rack] += slots(g.size, h.spec.Capacity)
			most = max(most, count[h.rack])
		}
	}
	return most
}

// fill spreads n tasks over hosts: sound and fast hosts first, then those with
// the most room, so that the gang depends on few hosts.
func (s *Scheduler) fill(g *group, hosts []*host, n int) []*host {
	type option struct {
		host               *host
		score, spare, room int
	}
	options := make([]option, len(hosts))
	total := 0
	for i, h := range hosts {
		options[i] = option{host: h, score: s.gangScore(g, h), room: s.room(g, h)}
		if g.step.Fills {
			options[i].spare = int(h.spare())
		}
		total += options[i].room
	}
	if total < n {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		if c := cmp.Compare(b.spare, a.spare); c != 0 {
			return c
		}
		return cmp.Compare(b.room, a.room)
	})
	var out []*host
	for _, o := range options {
		for range min(o.room, n-len(out)) {
			out = append(out, o.host)
		}
	}
	return out
}

// slowBucket makes hosts of about the same speed equal.
const slowBucket = 0.25

func (s *Scheduler) gangScore(g *group, h *host) int {
	score := int(max(h.health.slowness-1, 0) / slowBucket)
	if g.tasks[0].failedOn == h.spec.ID {
		score += 100
	}
	if g.step.DataRack != "" && g.step.DataRack != h.rack {
		score += 10
	}
	if g.sharing(h) > 0 {
		score += 10
	}
	return score
}

func (s *Scheduler) startGang(g *group, tasks []*task, hosts []*host) {
	run := s.o.FirstRun
	for _, t := range g.tasks {
		run = max(run, t.lastRun)
	}
	run++
	for i, t := range tasks {
		s.start(t, hosts[i], run)
	}
	g.run, g.startedAt = run, s.now
}

// repair places members that were refused, under the run of the others.
func (s *Scheduler) repair(g *group, tasks []*task) {
	if g.breaking || g.stopping() {
		return // the rest of the gang is ending
	}
	hosts := s.choose(g, len(tasks), true)
	if hosts != nil && g.job.team.room(g.step.Size, g.urgent()) >= len(tasks) {
		for i, t := range tasks {
			s.start(t, hosts[i], g.run)
		}
		return
	}
	if s.now > g.startedAt+s.o.GangTimeout/repairWithin {
		s.stopGroup(g, "no room for a refused member of the gang")
	}
}

// stopping reports whether the end of a member has been ordered.
func (g *group) stopping() bool {
	for _, t := range g.tasks {
		for _, a := range t.attempts {
			if a.phase == phaseStopping {
				return true
			}
		}
	}
	return false
}

// renew asks for new tickets for chosen hosts and keeps their room meanwhile.
func (s *Scheduler) renew(g *group, hosts []*host) {
	var named []*host
	for _, h := range hosts {
		if !slices.Contains(named, h) {
			named = append(named, h)
		}
	}
	until := s.now + g.policy().Cost(len(named))
	for _, h := range hosts {
		h.keep(g, 1, until)
	}
	s.ask(g, named)
}

// keep reserves room for n tasks of a gang that can start at a time.
func (h *host) keep(g *group, n int, until time.Duration) {
	h.reserved = h.reserved.Add(g.size.Scale(int64(n)))
	if h.reservedUntil == 0 || until < h.reservedUntil {
		h.reservedUntil = until
	}
}

// capacityOf returns how many tasks the approved hosts hold when they are empty.
func (s *Scheduler) capacityOf(g *group) (n int) {
	for _, h := range s.approvedHosts(g) {
		if s.eligible(g, h) {
			k := slots(g.size, h.spec.Capacity)
			if g.step.MaxPerHost > 0 {
				k = min(k, g.step.MaxPerHost)
			}
			n += k
		}
	}
	return n
}

// release is the expected end of an attempt, with the room that it leaves.
type release struct {
	at   time.Duration
	size resource.Vector
}

// overdue is how much longer an attempt is expected to take once it has taken
// as long as estimated.
const overdue = 500 * time.Millisecond

// releases returns the expected ends of a host's attempts, in order.
func (s *Scheduler) releases(h *host) []release {
	if h.ends == nil {
		h.ends = make([]release, 0, len(h.attempts))
		for _, a := range h.attempts {
			end := max(a.orderedAt+a.task.group.estimate(h), s.now+overdue)
			h.ends = append(h.ends, release{end, a.task.group.size})
		}
		slices.SortFunc(h.ends, func(a, b release) int {
			if c := cmp.Compare(a.at, b.at); c != 0 {
				return c
			}
			return cmp.Compare(a.size.MilliCPU, b.size.MilliCPU)
		})
	}
	return h.ends
}

// opening is room for more members of a gang that a host has from a time on.
type opening struct {
	at   time.Duration
	host int
	more int
}

// gather finds the earliest time at which the approved hosts hold n tasks of a
// gang, and keeps their room until then from work that would not end before.
func (s *Scheduler) gather(g *group, n int) {
	var hosts []*host
	for _, h := range s.approvedHosts(g) {
		if s.eligible(g, h) {
			hosts = append(hosts, h)
		}
	}
	room := make([]int, len(hosts))
	var openings []opening
	total := 0
	for i, h := range hosts {
		free := h.free().Sub(h.reserved)
		room[i] = slots(g.size, free)
		total += room[i]
		known := room[i]
		for _, r := range s.releases(h) {
			free = free.Add(r.size)
			if k := slots(g.size, free); k > known {
				openings = append(openings, opening{r.at, i, k - known})
				known = k
			}
		}
	}
	slices.SortFunc(openings, func(a, b opening) int {
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	until := s.now
	for _, o := range openings {
		if total >= n {
			break
		}
		total += o.more
		room[o.host] += o.more
		until = o.at
	}
	if total < n {
		return
	}
	s.keepRoom(g, n, hosts, room, until)
}

// keepRoom reserves room for n tasks of a gang, on as few hosts as possible.
func (s *Scheduler) keepRoom(g *group, n int, hosts []*host, room []int, until time.Duration) {
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(room[b], room[a]) })
	for _, i := range order {
		if k := min(room[i], n); k > 0 {
			hosts[i].keep(g, k, until)
			n -= k
		}
	}
}
