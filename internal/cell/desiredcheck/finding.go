package desiredcheck

import "github.com/medlarpulley/medlarpulley/internal/cell"

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Object   Object
	Field    cell.DesiredField
	// Value is the value found; an API key is masked.
	Value string
	// Accepted says what would be accepted, or for a difference what has changed.
	Accepted string
}
