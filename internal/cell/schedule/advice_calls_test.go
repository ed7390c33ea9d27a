package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// adviceCall is an advice call and when it is answered.
type adviceCall struct {
	request AdviceRequest
	due     time.Duration
}

// answerAdviceRequests answers the advice requests of a plan, now or when they are due.
func (c *cluster) answerAdviceRequests(p *Plan) {
	for _, a := range p.AdviceRequests {
		c.callCount[a.Group]++
		c.calls = append(c.calls, adviceCall{a, c.now + a.Duration})
	}
	if !c.adviceTakesTime {
		c.answerAdvice(func(adviceCall) bool { return true })
	}
}

// answerAdvice answers the open advice calls that are due.
func (c *cluster) answerAdvice(due func(adviceCall) bool) {
	c.calls = answerDueCalls(c.s, c.calls, due, c.approves, c.now)
}

// answerDueCalls answers the advice calls that are due, with tickets for the hosts that are
// approved, and returns the others.
func answerDueCalls(s *Scheduler, calls []adviceCall, due func(adviceCall) bool, approves func(g cell.GroupID, host string) bool, now time.Duration) (open []adviceCall) {
	for _, call := range calls {
		if !due(call) {
			open = append(open, call)
			continue
		}
		tickets := map[string]string{}
		for _, h := range call.request.Hosts {
			if approves(call.request.Group, h) {
				tickets[h] = "t"
			}
		}
		s.AdviceReceived(call.request.Group, call.request.Hosts, tickets, now)
	}
	return open
}
