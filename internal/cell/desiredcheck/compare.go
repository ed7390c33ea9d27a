package desiredcheck

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Compare returns the differences of a document from the one in force, and after each
// difference that affects callers at once a warning. It begins with an error if no node
// would apply the document. Objects are the same if their names are; of several with one
// name the first counts.
func Compare(d, current *cell.DesiredDocument) []Finding {
	c := &checker{doc: d}
	whole := Object{Kind: cell.DesiredWhole}
	if d.Version <= current.Version {
		c.add(Error, whole, cell.FieldVersion, d.Version, "a version higher than "+text(current.Version)+", which is in force")
	}
	differ(c, whole, cell.FieldVersion, current.Version, d.Version)
	compareAll(c, cell.DesiredQueue, current.Queues, d.Queues, func(q cell.Queue) string { return q.Name }, c.compareQueues)
	compareAll(c, cell.DesiredService, current.Services, d.Services, func(s cell.Service) string { return s.Name }, c.compareServices)
	compareAll(c, cell.DesiredTeam, current.Teams, d.Teams, func(t cell.Team) string { return t.Name }, c.compareTeams)
	c.compareLimits(current.Limits, d.Limits)
	return c.findings
}

// compareAll compares two lists of objects by name.
func compareAll[T any](c *checker, kind cell.DesiredKind, from, to []T, name func(T) string, compare func(o Object, from, to T)) {
	find := func(list []T, n string) int { return slices.IndexFunc(list, func(v T) bool { return name(v) == n }) }
	for i, v := range to {
		o := Object{kind, name(v), i}
		if k := find(from, o.Name); k < 0 {
			c.add(Difference, o, cell.FieldWhole, o.Name, "added")
		} else if find(to, o.Name) == i {
			compare(o, from[k], v)
		}
	}
	for i, v := range from {
		o := Object{kind, name(v), i}
		if find(to, o.Name) >= 0 || find(from, o.Name) != i {
			continue
		}
		c.add(Difference, o, cell.FieldWhole, o.Name, "removed")
		if kind != cell.DesiredService {
			c.add(Warning, o, cell.FieldWhole, o.Name, "kept while callers use it; their calls are refused at once")
		}
	}
}

// differ adds a difference of a field and reports whether there is one.
func differ[T comparable](c *checker, o Object, f cell.DesiredField, from, to T) bool {
	if from == to {
		return false
	}
	c.add(Difference, o, f, to, "changed from "+text(from))
	return true
}

// lowered compares a limit, of which zero means none, and warns if it becomes lower.
func lowered[T int | float64 | interface{ ~int64 }](c *checker, o Object, f cell.DesiredField, from, to T) {
	if differ(c, o, f, from, to) && to != 0 && (from == 0 || to < from) {
		c.add(Warning, o, f, to, "at least the limit in force ("+text(from)+", 0 means none); callers meet the lower one at once")
	}
}

func (c *checker) compareServices(o Object, from, to cell.Service) {
	differ(c, o, cell.FieldEnforces, from.EnforcesCapacity, to.EnforcesCapacity)
	differ(c, o, cell.FieldStandby, from.Standby, to.Standby)
}

func (c *checker) compareLimits(from, to cell.Limits) {
	o := Object{Kind: cell.DesiredLimits}
	differ(c, o, cell.FieldHeaderBytes, from.HeaderBytes, to.HeaderBytes)
	if from.BodyBytes == 0 {
		from.BodyBytes = cell.DefaultBodyBytes
	}
	if to.BodyBytes == 0 {
		to.BodyBytes = cell.DefaultBodyBytes
	}
	lowered(c, o, cell.FieldBodyBytes, from.BodyBytes, to.BodyBytes)
	differ(c, o, cell.FieldHeaderTimeout, from.HeaderTimeout, to.HeaderTimeout)
	differ(c, o, cell.FieldIdleTimeout, from.IdleTimeout, to.IdleTimeout)
}
