package schedule

import "time"

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
	var open []adviceCall
	for _, call := range c.calls {
		if !due(call) {
			open = append(open, call)
			continue
		}
		tickets := map[string]string{}
		for _, h := range call.request.Hosts {
			if c.approves(call.request.Group, h) {
				tickets[h] = "t"
			}
		}
		c.s.AdviceReceived(call.request.Group, call.request.Hosts, tickets, c.now)
	}
	c.calls = open
}
