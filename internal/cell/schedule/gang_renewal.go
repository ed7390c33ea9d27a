package schedule

import (
	"fmt"
	"math"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/gangroom"
)

// spareRenewalDivisor sets how many further hosts a renewal names beyond those on which capacity
// is planned: one for each spareRenewalDivisor of them, since the plan changes with each run that
// ends earlier or later than expected. The fixed part of a call is that of about 70 hosts.
const spareRenewalDivisor = 2

// requestAdviceWhileGathering plans the advice call that a gang needs while capacity is gathered
// for it by a plan: one that renews its tickets in time, or one about undecided hosts if that may
// let it start earlier.
func (s *Scheduler) requestAdviceWhileGathering(g *group, plan *roomPlan) {
	if !s.mayRequestAdvice(g) {
		return
	}
	if s.mostlyIdle {
		s.requestAdviceOnUndecidedHosts(g) // there may be room elsewhere, for which work must not wait
		return
	}
	wait := s.gatheringWait(g, plan)
	if wait.RenewalDue() {
		s.renewAhead(g, plan, wait)
		return
	}
	if !wait.SearchUseful() {
		return
	}
	hosts := s.gangHostsToAsk(g, s.undecidedHosts(g))
	if wait.Search = g.policy().CallDuration(len(hosts)); wait.SearchUseful() && s.requestAdvice(g, hosts) {
		s.gangRoom.Searches++
	}
}

// gatheringWait describes the wait of a gang for the capacity of a plan, with the shortest call
// about undecided hosts.
func (s *Scheduler) gatheringWait(g *group, plan *roomPlan) gangroom.Wait {
	p := g.policy()
	planned := g.promise.hosts
	wait := gangroom.Wait{
		Planned: plan.at - s.now, Tickets: math.MaxInt64, Validity: p.Validity - ticketExpiryMargin,
		Renewal: p.CallDuration(min(len(planned)+len(planned)/spareRenewalDivisor, maxAdviceHosts)), Search: p.CallDuration(adviceHostLimit(p)),
	}
	for _, h := range planned {
		wait.Tickets = min(wait.Tickets, g.ticketLeft(h, s.now))
	}
	return wait
}

// ticketLeft returns how much longer the ticket for a host is valid; zero if none is.
func (g *group) ticketLeft(h *host, now time.Duration) time.Duration {
	if _, ok := g.ticketFor(h, now); !ok {
		return 0
	}
	return g.advice.tickets[h].expires - now
}

// renewAhead requests new tickets for the hosts of a plan before their capacity becomes free, and
// for some further approved hosts that have room soonest.
func (s *Scheduler) renewAhead(g *group, plan *roomPlan, wait gangroom.Wait) {
	named := make([]*host, 0, len(g.promise.hosts)+len(g.promise.hosts)/spareRenewalDivisor)
	known := make(map[*host]bool, cap(named))
	for _, h := range g.promise.hosts {
		named, known[h] = append(named, h), true
	}
	if len(named) > maxAdviceHosts { // the others are renewed next
		rankHosts(named, func(h *host) int { return int(g.ticketLeft(h, s.now)) })
		named = named[:maxAdviceHosts]
	}
	var others []*host
	for _, h := range plan.hosts {
		if !known[h] {
			others = append(others, h)
		}
	}
	spare := min(len(g.promise.hosts)/spareRenewalDivisor, maxAdviceHosts-len(named))
	named = append(named, lowestHosts(others, spare, func(h *host) int { return s.gangRoomRank(g, h) })...)
	if s.requestAdvice(g, named) {
		s.gangRoom.Renewals++
		s.logMessage(g.id.Submission, "", fmt.Sprintf("The tickets of step %s on %d hosts are renewed %s before their capacity is expected to be free.",
			g.id, len(named), wait.Planned.Round(time.Millisecond)))
	}
}
