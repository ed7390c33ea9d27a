package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Problem is the error part of a response.
type Problem struct {
	Verdict verdict.Verdict `json:"verdict"`
	Code    string          `json:"code"`
	Message string          `json:"message"`
	// RetryAfterMillis is zero if a retry cannot succeed or needs no delay.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
	// Field, Value and Accepted describe one invalid input.
	Field    string `json:"field,omitempty"`
	Value    string `json:"value,omitempty"`
	Accepted string `json:"accepted,omitempty"`
	// Faults lists every fault of a set of objects.
	Faults objects.Faults `json:"faults,omitempty"`
	// Conflict lists what changed since the base revision of a publication.
	Conflict *Conflict `json:"conflict,omitempty"`
}

const maxValueBytes = 80

func invalidField(field, value, accepted string) *Problem {
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}
	value = strings.ToValidUTF8(value, "?")
	return &Problem{
		Verdict: verdict.DidNotRun, Code: CodeBadRequest, Field: field, Value: value, Accepted: accepted,
		Message: field + " is not accepted; expected " + accepted,
	}
}

func refusal(code, message string) *Problem {
	return &Problem{Verdict: verdict.DidNotRun, Code: code, Message: message}
}

// problemOf converts an error of the Backend. The text of an error without a
// verdict is internal and not shown to callers.
func problemOf(err error) *Problem {
	var withVerdict *verdict.Error
	if !errors.As(err, &withVerdict) {
		p := &Problem{Verdict: verdict.MayHaveRun, Code: CodeInternal, Message: "internal error; see the log of the entry node"}
		if errors.Is(err, context.DeadlineExceeded) {
			p.Code, p.Message = CodeDeadline, "the deadline has passed"
		}
		return p
	}
	p := &Problem{Verdict: withVerdict.Verdict, Code: withVerdict.Code, RetryAfterMillis: withVerdict.RetryAfterMillis}
	if withVerdict.Err != nil {
		p.Message = withVerdict.Err.Error()
	}
	errors.As(err, &p.Conflict)
	if errors.As(err, &p.Faults) {
		p.Message = fmt.Sprintf("the set of objects has %d faults", len(p.Faults))
	}
	return p
}
