package desiredcheck

import (
	"fmt"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// checker collects the findings of one document.
type checker struct {
	doc      *cell.DesiredDocument
	findings []Finding
}

// Check returns the findings of a document: first those of the whole, then those of its
// queues, services, teams and limits in their order.
func Check(d *cell.DesiredDocument) []Finding {
	c := &checker{doc: d}
	if d.Version < 1 {
		c.add(Error, Object{Kind: cell.DesiredWhole}, cell.FieldVersion, d.Version, "a whole number from 1 on")
	}
	c.queues()
	c.services()
	c.teams()
	c.limits()
	return c.findings
}

func (c *checker) add(s Severity, o Object, f cell.DesiredField, value any, accepted string) {
	c.findings = append(c.findings, Finding{Severity: s, Object: o, Field: f, Value: text(value), Accepted: accepted})
}

// text returns a value in the form of findings: strings are quoted and shortened.
func text(value any) string {
	if s, ok := value.(string); ok {
		return cell.Quote(s)
	}
	return fmt.Sprint(value)
}

// name reports a name that is missing or that an earlier object of the kind has.
func (c *checker) name(o Object, seen map[string]bool) {
	switch {
	case o.Name == "":
		c.add(Error, o, cell.FieldName, o.Name, "a name")
	case seen[o.Name]:
		c.add(Error, o, cell.FieldName, o.Name, "a name that no other object of the list has")
	}
	seen[o.Name] = true
}

// duration reports a duration that is negative or beyond cell.MaxDuration.
func (c *checker) duration(o Object, f cell.DesiredField, d time.Duration) {
	if d < 0 || d >= cell.MaxDuration {
		c.add(Error, o, f, d, fmt.Sprintf("from 0 to less than %s", cell.MaxDuration))
	}
}

// nonNegative reports a number below 0.
func nonNegative[T int | float64](c *checker, o Object, f cell.DesiredField, n T) {
	if n < 0 {
		c.add(Error, o, f, n, "0 or more")
	}
}

// number reports a number that is negative or above most.
func number[T int | int64](c *checker, o Object, f cell.DesiredField, n, most T) {
	if n < 0 || n > most {
		c.add(Error, o, f, n, fmt.Sprintf("from 0 to %v", most))
	}
}
