package cell

import (
	"fmt"
	"strconv"
)

// maxQuotedBytes bounds a quoted value in a FieldError, which may come from another
// writer and be of any length.
const maxQuotedBytes = 64

// FieldError says why data of another writer, or of a caller, is refused.
type FieldError struct {
	// Object names the entry, record or request.
	Object string
	Field  string
	// Value is the refused value, shortened to a length that suits a log line.
	Value string
	// Accepted describes the values that are accepted.
	Accepted string
}

// NewFieldError returns a FieldError with a quoted and shortened value.
func NewFieldError(object, field string, value any, accepted string) *FieldError {
	return &FieldError{Object: object, Field: field, Value: Quote(fmt.Sprint(value)), Accepted: accepted}
}

// Error implements error.
func (e *FieldError) Error() string {
	text := e.Field + " is " + e.Value + ", but must be " + e.Accepted
	if e.Object != "" {
		text = e.Object + ": " + text
	}
	return text
}

// Quote returns a text in quotes, shortened to a length that suits a log line.
func Quote(s string) string {
	if len(s) <= maxQuotedBytes {
		return strconv.Quote(s)
	}
	return strconv.Quote(s[:maxQuotedBytes]) + "... (" + strconv.Itoa(len(s)) + " bytes)"
}
