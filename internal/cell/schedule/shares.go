package schedule

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/fairshare"
)

// sharing is what a decision knows of the shares of the teams. It is used if
// Features.FairShares or Features.Admission is set.
type sharing struct {
	division fairshare.Division
	teams    []*team
	accounts []*fairshare.Account
	order    shareOrder
	// pools holds the room of the hosts of each service.
	pools map[string]*pool
	// owedStarts is when work that is in time and within the share of its team last started, by
	// service.
	owedStarts map[string]time.Duration
	// held is how many groups were held back in this decision, heldOf the team of the last.
	held   int
	heldOf *team
	// logged is when it was last logged that excess work is held back.
	logged time.Duration
}

// pool is the room of the hosts of one service in one decision.
type pool struct {
	free fairshare.Amounts
	// used and capacity are the cores in use and in all when the decision began.
	used, capacity int64
	// owed is the waiting work that is in time and within the shares of its teams.
	owed owedWork
}

// owedRoomFactor times the work that is owed room has to stay free for it. It is well below 1
// because the order of the queue gives that work what it can use at once: in the replay in
// shares_test.go, 1 held back two thirds of a burst that could be served, for no gain to others.
const owedRoomFactor = 0.25

// maxHoldBack is how long excess work is held back after the last start of work that it is held
// back for. That work may never be able to start, as with a bound on the tasks per host. After that
// excess work only comes last.
const maxHoldBack = 10 * time.Second

// divideShares finds the part of the waiting work that is beyond the shares of its teams, and
// sorts the queue so that it comes after other work of its rank. Work that will be late, or is
// beyond its team's rate, is sorted by how much its team uses by weight.
func (s *Scheduler) divideShares(q []queueEntry) {
	f := &s.sharing
	f.held = 0
	s.beginShares()
	for _, e := range q {
		if e.group.claimsShare() {
			e.group.job.team.account.Want(e.group.waitingAmounts(), e.group.itemAmounts(), e.group.waitsForRoom())
		}
	}
	f.division.Divide(s.now, s.poolRoom(), f.accounts)
	if !f.division.Contended {
		for _, e := range q {
			e.group.excess, e.group.owed, e.group.useless = false, false, false
		}
		return
	}
	for i := range q {
		s.claimShare(&q[i])
	}
	if s.options.Features.FairShares {
		f.order.sort(q)
	}
}

// claimShare claims the share of a team for a waiting group.
func (s *Scheduler) claimShare(e *queueEntry) {
	g := e.group
	g.excess, g.owed, g.useless = false, false, false
	if !g.claimsShare() || e.rank == rankIncompleteGang || e.rank == rankSuspected {
		return
	}
	level, excess := s.sharing.division.Claim(g.job.team.account, g.waitingAmounts())
	if g.step.LongRunning {
		return // it starts at any time; see mayIgnoreReservations
	}
	e.excess = excess && s.options.Features.FairShares
	g.excess, g.useless = e.excess, e.useless && s.options.Features.Admission
	if e.excess || e.rank >= rankLate {
		e.level = level
		return
	}
	if p := s.sharing.pools[g.job.queue.Service]; p != nil && g.waitReason != waitLimit {
		g.owed = true
		p.owed.add(g, g.waitingAmounts(), 1)
		g.job.team.owed.add(g, g.waitingAmounts(), 1)
	}
}

// claimsShare reports whether the waiting tasks of a group could run if there were room.
func (g *group) claimsShare() bool { return g.waitReason != waitCapacity && g.waitReason != waitTrial }

// waitingAmounts returns the resources that the waiting tasks of a group need.
func (g *group) waitingAmounts() fairshare.Amounts { return fairshare.AmountsOf(g.size, g.waiting) }

// itemAmounts returns the resources of the part of a group that has to start at once.
func (g *group) itemAmounts() fairshare.Amounts {
	if g.step.Gang {
		return g.waitingAmounts()
	}
	return fairshare.AmountsOf(g.size, 1)
}

// waitsForRoom reports whether a group waits for room on hosts, or for its share of it. Without
// advice it waits for nothing else.
func (g *group) waitsForRoom() bool {
	switch g.waitReason {
	case waitRoom, waitOtherGangs, waitShare:
		return true
	case waitNone:
		return g.policy() == nil
	default:
		return false
	}
}

// beginShares begins a division with the usage of each team.
func (s *Scheduler) beginShares() {
	f := &s.sharing
	if len(f.teams) != len(s.teams) {
		f.teams, f.accounts = f.teams[:0], f.accounts[:0]
		for _, name := range slices.Sorted(maps.Keys(s.teams)) {
			t := s.teams[name]
			if t.account == nil {
				t.account = &fairshare.Account{}
			}
			f.teams, f.accounts = append(f.teams, t), append(f.accounts, t.account)
		}
	}
	for _, t := range f.teams {
		t.owed = owedWork{}
		t.spend(s.now)
		t.account.Begin(t.rate, fairshare.AmountsOf(t.used, 1), fairshare.AmountsOf(t.limit, 1))
	}
}

// poolRoom finds the free room of each service, and returns the capacity of all usable hosts.
func (s *Scheduler) poolRoom() (capacity fairshare.Amounts) {
	if s.sharing.pools == nil {
		s.sharing.pools = make(map[string]*pool)
	}
	clear(s.sharing.pools)
	var p *pool
	service := ""
	for _, h := range s.sortedHosts {
		if !h.usable(s.now) {
			continue
		}
		if p == nil || h.spec.Service != service {
			if service, p = h.spec.Service, s.sharing.pools[h.spec.Service]; p == nil {
				p = &pool{}
				s.sharing.pools[service] = p
			}
		}
		p.free = p.free.Plus(fairshare.AmountsOf(h.free(), 1))
		p.used, p.capacity = p.used+h.used.MilliCPU, p.capacity+h.spec.Capacity.MilliCPU
		capacity = capacity.Plus(fairshare.AmountsOf(h.spec.Capacity, 1))
	}
	return capacity
}

// excessRoom returns how many tasks of a group may start although its team has its share, or
// its result is of no use any more. They leave the room that the in-time work of other teams, of
// no lower priority, waits for. While most of the cell or of the service is idle, nothing is held
// back: accepted work must not stay without runs then.
func (s *Scheduler) excessRoom(g *group) int {
	p := s.sharing.pools[g.job.queue.Service]
	if !g.excess && !g.useless || p == nil || s.mostlyIdle || p.used < p.capacity/2 {
		return g.waiting
	}
	if !g.useless && s.now > max(g.readyAt, s.sharing.owedStarts[g.job.queue.Service])+maxHoldBack {
		return g.waiting
	}
	owed := p.owed.before(g).Minus(g.job.team.owed.before(g))
	if g.useless {
		owed = p.owed.all()
	}
	if owed.Dominant(s.sharing.division.Capacity()) <= 0 {
		return g.waiting
	}
	return min(p.free.Minus(owed.Scale(owedRoomFactor)).Holds(g.size), g.waiting)
}

// holdBack reports whether a group has to wait for the in-time work of other teams.
func (s *Scheduler) holdBack(g *group) bool {
	if !g.excess && !g.useless || g.run != 0 {
		return false
	}
	n := s.excessRoom(g)
	if n >= g.waiting || n > 0 && !g.step.Gang {
		return false
	}
	s.sharing.held++
	s.sharing.heldOf = g.job.team
	s.setWaitReason(g, waitShare)
	return true
}

// countSharedStart subtracts a started task from the free room, and from what is owed.
func (s *Scheduler) countSharedStart(g *group) {
	p := s.sharing.pools[g.job.queue.Service]
	if p == nil {
		return
	}
	size := fairshare.AmountsOf(g.size, 1)
	p.free = p.free.Minus(size)
	if g.owed {
		if s.sharing.owedStarts == nil {
			s.sharing.owedStarts = make(map[string]time.Duration)
		}
		s.sharing.owedStarts[g.job.queue.Service] = s.now
		p.owed.add(g, size, -1)
		g.job.team.owed.add(g, size, -1)
	}
}

// heldLogInterval is the least time between two log messages that work is held back.
const heldLogInterval = 5 * time.Second

// noteHeldBack logs that excess work is held back.
func (s *Scheduler) noteHeldBack() {
	f := &s.sharing
	if f.held == 0 || f.logged != 0 && s.now < f.logged+heldLogInterval {
		return
	}
	f.logged = s.now
	a := f.heldOf.account
	s.logMessage("", "", fmt.Sprintf("Excess work is held back for in-time work of other teams: %d steps, among them of team %s, which uses %.3f of the cell; its share is %.3f.",
		f.held, f.heldOf.name, a.Usage, a.Entitled))
}

// SharesHeld returns for how many steps the last decision held work back, and whether the teams
// want more than the cell has.
func (s *Scheduler) SharesHeld() (steps int, contended bool) {
	return s.sharing.held, s.sharing.division.Contended
}

// TeamShare is what a team uses of the cell and what it is entitled to, as parts of the cell.
type TeamShare struct {
	Team                  string
	Usage, Share, Deficit float64
}

// TeamShares returns the shares of all teams with work, in the order of their names; none unless
// Features.FairShares or Features.Admission is set.
func (s *Scheduler) TeamShares() []TeamShare {
	out := make([]TeamShare, 0, len(s.sharing.teams))
	for _, t := range s.sharing.teams {
		out = append(out, TeamShare{t.name, t.account.Usage, t.account.Entitled, t.account.Deficit()})
	}
	return out
}
