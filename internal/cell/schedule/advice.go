package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// ticketExpiryMargin is the part of a ticket's validity that is reserved for
	// the delivery of the start order.
	ticketExpiryMargin = cell.TicketExpiryMargin
	// perHostTimeShare limits the hosts in one call, so that the time per host adds
	// at most about this share to the fixed duration of the call.
	perHostTimeShare = 0.5
	minAdviceHosts   = 16
	maxAdviceHosts   = 100
	// adviceRetryBackoff is the wait after a failed call. It doubles with each further
	// failure, up to maxAdviceRetryBackoff.
	adviceRetryBackoff    = 100 * time.Millisecond
	maxAdviceRetryBackoff = 3200 * time.Millisecond
)

// advice holds the answers of the advice service for a group.
type advice struct {
	tickets map[*host]ticket
	denied  map[*host]bool
	// hosts holds the approved hosts, sorted by ID.
	hosts    []*host
	inFlight bool
	// renewing is set while the call is in flight that renews the tickets of a gang, for which
	// there is room now. It may be in flight beside another one.
	renewing bool
	retryAt  time.Duration
	// backoff is the wait after the last call, zero if it was answered.
	backoff time.Duration
}

// awaited reports whether a call is in flight.
func (a *advice) awaited() bool { return a.inFlight || a.renewing }

// ticket permits tasks of a group to start on a host until it expires.
type ticket struct {
	value   string
	expires time.Duration
	// startedMs is when the lifetime of the host began for which the ticket was issued.
	startedMs int64
}

// policy returns the advice policy of the group's queue, or nil if the queue
// needs no advice.
func (g *group) policy() *cell.AdvicePolicy { return g.job.queue.Advice }

// approved reports whether the group may run on a host, whether or not its
// ticket is still valid.
func (g *group) approved(h *host) bool {
	if g.policy() == nil {
		return true
	}
	_, ok := g.advice.tickets[h]
	return ok
}

// undecided reports whether the service has neither approved nor denied a host for the group.
func (g *group) undecided(h *host) bool { return !g.approved(h) && !g.advice.denied[h] }

// adviceDuration returns how long advice about one host takes; zero if the group needs
// none.
func (g *group) adviceDuration() time.Duration {
	if p := g.policy(); p != nil {
		return p.CallDuration(1)
	}
	return 0
}

// ticketFor returns the ticket for a host and whether it is valid. A restart of
// the host invalidates its ticket. A group without an advice policy needs none.
func (g *group) ticketFor(h *host, now time.Duration) (string, bool) {
	if g.policy() == nil {
		return "", true
	}
	t, ok := g.advice.tickets[h]
	if !ok || now >= t.expires || t.startedMs != h.life.startedMs {
		return "", false
	}
	return t.value, true
}

// adviceHostLimit returns how many hosts one call may ask about.
func adviceHostLimit(p *cell.AdvicePolicy) int {
	if p.PerHost <= 0 {
		return maxAdviceHosts
	}
	return min(max(int(perHostTimeShare*float64(p.Decision)/float64(p.PerHost)), minAdviceHosts), maxAdviceHosts)
}

// requestAdvice plans an advice call about the given hosts, or the first of them if they
// are more than one call may name.
func (s *Scheduler) requestAdvice(g *group, hosts []*host) {
	if len(hosts) == 0 || !s.mayRequestAdvice(g) {
		return
	}
	g.advice.inFlight = s.planCall(g, hosts[:min(len(hosts), maxAdviceHosts)])
}

// planCall plans an advice call. It reports false if there is no room for it.
func (s *Scheduler) planCall(g *group, hosts []*host) bool {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.spec.ID
	}
	p := g.policy()
	d := p.CallDuration(len(names))
	if !s.hasAdviceRoom(d) {
		return false
	}
	if s.adviceRoom != nil {
		s.adviceRoom.Take(d)
	}
	s.plan.AdviceRequests = append(s.plan.AdviceRequests, AdviceRequest{
		Group: g.id, Hosts: names, Duration: d, Priority: g.job.queue.Priority, Validity: p.Validity,
	})
	return true
}

// SetAdviceRoom sets how many advice calls the next decisions may plan. The groups that
// come first in the queue use it.
func (s *Scheduler) SetAdviceRoom(r cell.AdviceRoom) { s.adviceRoom = &r }

// hasAdviceRoom reports whether a call that takes a time may be planned.
func (s *Scheduler) hasAdviceRoom(d time.Duration) bool {
	return s.adviceRoom == nil || s.adviceRoom.Has(d)
}

// hasUndecidedHosts reports whether there are n hosts that the service has neither approved
// nor denied for the group.
func (s *Scheduler) hasUndecidedHosts(g *group, n int) bool {
	for _, h := range s.sortedHosts {
		if g.undecided(h) && s.eligible(g, h) {
			if n--; n <= 0 {
				return true
			}
		}
	}
	return false
}

// undecidedHosts returns the hosts that the service has neither approved nor denied for the
// group. The slice is valid until the next call.
func (s *Scheduler) undecidedHosts(g *group) []*host {
	hosts := s.undecidedBuffer[:0]
	for _, h := range s.sortedHosts {
		if s.eligible(g, h) && g.undecided(h) {
			hosts = append(hosts, h)
		}
	}
	s.undecidedBuffer = hosts
	return hosts
}

// requestAdviceOnUndecidedHosts plans an advice call about hosts that the service
// has neither approved nor denied for the group. It reports whether there are
// such hosts or a call is in flight.
func (s *Scheduler) requestAdviceOnUndecidedHosts(g *group) bool {
	if g.advice.inFlight {
		return true
	}
	if !s.mayRequestAdvice(g) {
		return s.hasUndecidedHosts(g, 1)
	}
	if limit := adviceHostLimit(g.policy()); !s.hasAdviceRoom(g.policy().CallDuration(limit)) && s.hasUndecidedHosts(g, limit) {
		return true // the call would find no room; to rank the hosts for it is most of the work of a decision
	}
	hosts := s.undecidedHosts(g)
	if g.step.Gang && s.options.Features.GangCapacity {
		hosts = s.gangHostsToAsk(g, hosts)
	} else {
		hosts = s.singleHostsToAsk(g, hosts)
	}
	s.requestAdvice(g, hosts)
	return len(hosts) > 0
}

// AdviceReceived records the answer of an advice call. named are the hosts in the
// call; received is when the answer arrived.
func (s *Scheduler) AdviceReceived(id cell.GroupID, named []string, tickets map[string]string, received time.Duration) {
	g := s.group(id)
	if g == nil {
		return
	}
	if g.advice.renewing && s.namesApproved(g, named) {
		g.advice.renewing = false
	} else {
		g.advice.inFlight = false
	}
	g.advice.backoff = 0
	if g.advice.tickets == nil {
		g.advice.tickets, g.advice.denied = make(map[*host]ticket), make(map[*host]bool)
	}
	p := g.policy()
	if p == nil {
		return
	}
	if g.step.Gang && s.options.Features.GangCapacity {
		s.approval(g).Add(len(named), len(tickets))
	}
	for _, name := range named {
		h := s.hosts[name]
		if h == nil {
			continue
		}
		value, ok := tickets[name]
		if !ok {
			g.advice.denied[h] = true
			continue
		}
		if !g.approved(h) {
			g.advice.hosts = append(g.advice.hosts, h)
		}
		g.advice.tickets[h] = ticket{value: value, expires: received + p.Validity - ticketExpiryMargin, startedMs: h.life.startedMs}
	}
	slices.SortFunc(g.advice.hosts, func(a, b *host) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}

// namesApproved reports whether a call named approved hosts only, as one that renews tickets.
func (s *Scheduler) namesApproved(g *group, named []string) bool {
	for _, name := range named {
		if h := s.hosts[name]; h != nil && !g.approved(h) {
			return false
		}
	}
	return true
}

// approvedHosts returns the hosts that advice lets a group run on.
func (s *Scheduler) approvedHosts(g *group) []*host {
	if g.policy() == nil {
		return s.sortedHosts
	}
	return g.advice.hosts
}

// candidates returns the hosts to consider for a group: the approved hosts or
// the hosts with free capacity, whichever are fewer.
func (s *Scheduler) candidates(g *group) []*host {
	if g.policy() == nil || len(s.hostsWithRoom) < len(g.advice.hosts) {
		return s.hostsWithRoom
	}
	return g.advice.hosts
}

// mayRequestAdvice reports whether an advice call about at least one host may be planned
// now.
func (s *Scheduler) mayRequestAdvice(g *group) bool {
	p := g.policy()
	return p != nil && !g.advice.inFlight && s.now >= g.advice.retryAt &&
		(s.hasAdviceRoom(p.CallDuration(1)) || s.hasAdviceRoom(p.CallDuration(adviceHostLimit(p))))
}

// AdviceFailed records that an advice call failed. If two were in flight, the other one counts as
// failed too, until it is answered.
func (s *Scheduler) AdviceFailed(id cell.GroupID, now time.Duration) {
	if g := s.group(id); g != nil {
		g.advice.inFlight, g.advice.renewing = false, false
		g.advice.backoff = min(max(2*g.advice.backoff, adviceRetryBackoff), maxAdviceRetryBackoff)
		g.advice.retryAt = now + g.advice.backoff
	}
}
