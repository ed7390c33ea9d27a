package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// ticketMargin is the part of a ticket's validity that is left for the start
	// order to arrive.
	ticketMargin = 150 * time.Millisecond
	// namedShare bounds the hosts named in one call: naming them takes about
	// this share of the time of the decision itself.
	namedShare = 0.5
	minNamed   = 16
	maxNamed   = 100
	// askPause is the wait after a call that failed.
	askPause = 100 * time.Millisecond
)

// advice is what the advice service has said about a group.
type advice struct {
	tickets map[*host]ticket
	denied  map[*host]bool
	// hosts are the approved ones, in the scheduler's order.
	hosts    []*host
	inFlight bool
	notUntil time.Duration
}

// ticket lets tasks of a group start on a host for some time.
type ticket struct {
	value   string
	expires time.Duration
	born    int64
}

// policy returns the advice policy of the group's queue; nil if it needs none.
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

// ticketFor returns a valid ticket for a host.
func (g *group) ticketFor(h *host, now time.Duration) (string, bool) {
	if g.policy() == nil {
		return "", true
	}
	t, ok := g.advice.tickets[h]
	if !ok || now >= t.expires || t.born != h.born {
		return "", false
	}
	return t.value, true
}

// nameable returns how many hosts one call may name.
func nameable(p *cell.AdvicePolicy) int {
	if p.PerHost <= 0 {
		return maxNamed
	}
	return min(max(int(namedShare*float64(p.Decision)/float64(p.PerHost)), minNamed), maxNamed)
}

// ask plans a call that names hosts.
func (s *Scheduler) ask(g *group, hosts []*host) {
	if len(hosts) == 0 || !s.mayAsk(g) {
		return
	}
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.spec.ID
	}
	p := g.policy()
	g.advice.inFlight = true
	s.plan.Asks = append(s.plan.Asks, Ask{
		Group: g.id, Hosts: names, Cost: p.Cost(len(names)), Priority: g.job.queue.Priority, Validity: p.Validity,
	})
}

// askUndecided asks about hosts that the service has not judged for the group.
// It reports whether a call is planned or on its way.
func (s *Scheduler) askUndecided(g *group) bool {
	if g.advice.inFlight {
		return true
	}
	var hosts []*host
	for _, h := range s.order {
		if s.eligible(g, h) && !g.approved(h) && !g.advice.denied[h] {
			hosts = append(hosts, h)
		}
	}
	rankHosts(hosts, func(h *host) int { return -slots(g.size, h.free()) })
	if n := nameable(g.policy()); len(hosts) > n {
		hosts = hosts[:n]
	}
	s.ask(g, hosts)
	return len(hosts) > 0
}

// Advised records the answer of a call that named hosts. received is when the
// answer arrived.
func (s *Scheduler) Advised(id cell.GroupID, named []string, tickets map[string]string, received time.Duration) {
	g := s.group(id)
	if g == nil {
		return
	}
	g.advice.inFlight = false
	if g.advice.tickets == nil {
		g.advice.tickets, g.advice.denied = make(map[*host]ticket), make(map[*host]bool)
	}
	p := g.policy()
	if p == nil {
		return
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
		g.advice.tickets[h] = ticket{value: value, expires: received + p.Validity - ticketMargin, born: h.born}
	}
	slices.SortFunc(g.advice.hosts, func(a, b *host) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}

// approvedHosts returns the hosts that a group may run on, as far as advice tells.
func (s *Scheduler) approvedHosts(g *group) []*host {
	if g.policy() == nil {
		return s.order
	}
	return g.advice.hosts
}

// candidates returns the hosts that a group may run on and that may have room.
func (s *Scheduler) candidates(g *group) []*host {
	if g.policy() == nil || len(s.roomy) < len(g.advice.hosts) {
		return s.roomy
	}
	return g.advice.hosts
}

// mayAsk reports whether a call for advice may be sent now.
func (s *Scheduler) mayAsk(g *group) bool {
	return g.policy() != nil && !g.advice.inFlight && s.now >= g.advice.notUntil
}

// AdviceFailed records that a call got no advice.
func (s *Scheduler) AdviceFailed(id cell.GroupID, now time.Duration) {
	if g := s.group(id); g != nil {
		g.advice.inFlight = false
		g.advice.notUntil = now + askPause
	}
}
