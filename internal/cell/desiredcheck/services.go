package desiredcheck

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

func (c *checker) services() {
	seen := make(map[string]bool)
	for i, s := range c.doc.Services {
		o := Object{cell.DesiredService, s.Name, i}
		c.name(o, seen)
		if !slices.ContainsFunc(c.doc.Queues, func(q cell.Queue) bool { return q.Service == s.Name }) {
			c.add(Warning, o, cell.FieldWhole, s.Name, "a service that a route uses")
		}
	}
}
