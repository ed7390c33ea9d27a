package desiredcheck

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// limits reports limits that nodes do not apply as the document has them. Zero stands for
// the limit that nodes have by themselves.
func (c *checker) limits() {
	o, l := Object{Kind: cell.DesiredLimits}, c.doc.Limits
	nonNegative(c, o, cell.FieldHeaderBytes, l.HeaderBytes)
	number(c, o, cell.FieldBodyBytes, l.BodyBytes, cell.MaxBodyBytes)
	if l.BodyBytes > cell.MaxStoredBytes && l.BodyBytes <= cell.MaxBodyBytes {
		c.add(Warning, o, cell.FieldBodyBytes, l.BodyBytes, fmt.Sprintf("at most %d; the store takes no larger record", cell.MaxStoredBytes))
	}
	c.duration(o, cell.FieldHeaderTimeout, l.HeaderTimeout)
	c.duration(o, cell.FieldIdleTimeout, l.IdleTimeout)
	fixed(c, o, cell.FieldHeaderBytes, l.HeaderBytes, cell.HeaderBytes)
	fixed(c, o, cell.FieldHeaderTimeout, l.HeaderTimeout, cell.HeaderTimeout)
	fixed(c, o, cell.FieldIdleTimeout, l.IdleTimeout, cell.IdleTimeout)
}

// fixed reports a limit that differs from the one that every node has.
func fixed[T int | interface{ ~int64 }](c *checker, o Object, f cell.DesiredField, value, applied T) {
	if value > 0 && value != applied {
		c.add(Warning, o, f, value, fmt.Sprintf("%v, which nodes apply whatever the document says", applied))
	}
}
