package desiredcheck

import "github.com/medlarpulley/medlarpulley/internal/cell"

func (c *checker) compareQueues(o Object, from, to cell.Queue) {
	const unreachable = "unchanged while callers use it; calls to the former host and path are refused at once"
	if differ(c, o, cell.FieldHost, from.Host, to.Host) {
		c.add(Warning, o, cell.FieldHost, to.Host, unreachable)
	}
	if differ(c, o, cell.FieldPathPrefix, from.PathPrefix, to.PathPrefix) {
		c.add(Warning, o, cell.FieldPathPrefix, to.PathPrefix, unreachable)
	}
	if differ(c, o, cell.FieldWithoutKey, from.WithoutKey, to.WithoutKey) && from.WithoutKey {
		c.add(Warning, o, cell.FieldWithoutKey, to.WithoutKey, "true while callers have no key; their calls are refused at once")
	}
	differ(c, o, cell.FieldService, from.Service, to.Service)
	c.comparePriority(o, from.Priority, to.Priority)
	lowered(c, o, cell.FieldMaxAttempts, from.MaxAttempts, to.MaxAttempts)
	differ(c, o, cell.FieldStretch, from.Stretch, to.Stretch)
	differ(c, o, cell.FieldLatency, from.Latency, to.Latency)
	lowered(c, o, cell.FieldTimeout, from.Timeout, to.Timeout)
	c.compareAdvice(o, from.Advice, to.Advice)
}

// comparePriority warns of a change in both directions: a smaller number takes capacity
// from other queues, a larger one from the queue itself.
func (c *checker) comparePriority(o Object, from, to int) {
	if !differ(c, o, cell.FieldPriority, from, to) {
		return
	}
	effect := "; work of other queues waits for that of this one"
	if to > from {
		effect = "; work of this queue waits for that of others"
	}
	c.add(Warning, o, cell.FieldPriority, to, text(from)+" as in force"+effect)
}

func (c *checker) compareAdvice(o Object, from, to *cell.AdvicePolicy) {
	differ(c, o, cell.FieldAdvice, from != nil, to != nil)
	if from == nil {
		from = &cell.AdvicePolicy{}
	}
	if to == nil {
		to = &cell.AdvicePolicy{}
	}
	differ(c, o, cell.FieldDecision, from.Decision, to.Decision)
	differ(c, o, cell.FieldPerHost, from.PerHost, to.PerHost)
	differ(c, o, cell.FieldValidity, from.Validity, to.Validity)
}
