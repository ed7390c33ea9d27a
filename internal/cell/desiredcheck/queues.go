package desiredcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

func (c *checker) queues() {
	seen, services := make(map[string]bool), make(map[string]cell.Service)
	for _, s := range c.doc.Services {
		services[s.Name] = s
	}
	for i, q := range c.doc.Queues {
		o := Object{cell.DesiredQueue, q.Name, i}
		c.name(o, seen)
		c.host(o, q.Host)
		c.pathPrefix(o, q.PathPrefix)
		earlier := slices.IndexFunc(c.doc.Queues[:i], func(e cell.Queue) bool { return e.Host == q.Host && e.PathPrefix == q.PathPrefix })
		if earlier >= 0 {
			c.add(Error, o, cell.FieldPathPrefix, q.PathPrefix, "another path prefix than that of "+cell.Quote(c.doc.Queues[earlier].Name)+" at the same host, which takes all calls")
		}
		switch s, ok := services[q.Service]; {
		case !ok:
			c.add(Error, o, cell.FieldService, q.Service, "the name of a service of the document")
		case s.Standby:
			c.add(Warning, o, cell.FieldService, q.Service, "a service that is not on standby; work waits for its hosts")
		}
		c.scheduling(o, q)
		c.advice(o, q.Advice)
	}
}

// host reports a host that is never equal to the Host header of a call. Nodes compare
// what stands before the first colon, with regard to case.
func (c *checker) host(o Object, host string) {
	invalid := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-._", r)
	}
	switch {
	case strings.Contains(host, ":"):
		c.add(Error, o, cell.FieldHost, host, "a host without a port; nodes cut it off at the first colon")
	case host == "" || strings.ContainsFunc(host, invalid):
		c.add(Error, o, cell.FieldHost, host, "a host name of letters, digits, '-', '.' and '_'")
	case strings.ToLower(host) != host:
		c.add(Warning, o, cell.FieldHost, host, "lower case, which most callers send; nodes compare the case")
	}
}

// pathPrefix reports a prefix that no path of a submission can have. Nodes compare the
// decoded path and take what follows the prefix as the ID.
func (c *checker) pathPrefix(o Object, prefix string) {
	invalid := func(r rune) bool { return r <= ' ' || r == 0x7f || strings.ContainsRune("?#%", r) }
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(Error, o, cell.FieldPathPrefix, prefix, "a path that begins with a slash")
	case strings.ContainsFunc(prefix, invalid):
		c.add(Error, o, cell.FieldPathPrefix, prefix, "a decoded path without spaces, control characters, '?', '#' and '%'")
	case !strings.HasSuffix(prefix, "/"):
		c.add(Warning, o, cell.FieldPathPrefix, prefix, "a path that ends with a slash; the ID follows the prefix directly")
	}
}

func (c *checker) scheduling(o Object, q cell.Queue) {
	c.duration(o, cell.FieldLatency, q.Latency)
	c.duration(o, cell.FieldTimeout, q.Timeout)
	nonNegative(c, o, cell.FieldPriority, q.Priority)
	nonNegative(c, o, cell.FieldMaxAttempts, q.MaxAttempts)
	nonNegative(c, o, cell.FieldStretch, q.Stretch)
	if q.MaxAttempts == 0 {
		c.add(Warning, o, cell.FieldMaxAttempts, q.MaxAttempts, "1 or more; 0 means no limit")
	}
	if q.Stretch == 0 && q.Latency == 0 {
		c.add(Warning, o, cell.FieldStretch, q.Stretch, "more than 0, or a target latency; otherwise all work is late at once")
	}
}

func (c *checker) advice(o Object, p *cell.AdvicePolicy) {
	if p == nil {
		return
	}
	c.duration(o, cell.FieldDecision, p.Decision)
	c.duration(o, cell.FieldPerHost, p.PerHost)
	c.duration(o, cell.FieldValidity, p.Validity)
	needed := cell.ClampDuration(p.CallDuration(1) + cell.TicketExpiryMargin)
	switch {
	case p.Validity < 0:
	case p.Validity <= cell.TicketExpiryMargin:
		c.add(Error, o, cell.FieldValidity, p.Validity, fmt.Sprintf("more than %s, which is reserved for the delivery of a start order", cell.TicketExpiryMargin))
	case p.Validity < needed:
		c.add(Warning, o, cell.FieldValidity, p.Validity, fmt.Sprintf("at least %s: one call and the time for delivery; otherwise tickets of one call expire before the next one ends", needed))
	}
}
