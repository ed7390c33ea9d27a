// Package verdict states whether a request or task may have run.
//
// A verdict is fixed where the knowledge is and travels unchanged to the
// caller. Code in between may only weaken it to MayHaveRun, never upgrade it.
package verdict

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Verdict tells what is known about the execution of a request.
// The zero value is MayHaveRun, so a forgotten verdict never claims knowledge.
type Verdict uint8

const (
	// MayHaveRun means that execution can be neither proved nor excluded.
	MayHaveRun Verdict = iota
	// DidNotRun means that execution is proved not to have started and never will.
	DidNotRun
	// DidRun means that execution is proved to have happened.
	DidRun
)

// Header is the HTTP response header that carries a verdict.
const Header = "Medlar-Verdict"

// String returns the wire form of v.
func (v Verdict) String() string {
	switch v {
	case DidNotRun:
		return "did-not-run"
	case DidRun:
		return "did-run"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict for its wire form.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, DidNotRun, DidRun} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, eris.Errorf("unknown verdict %q", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Merge returns what is known when a request had two attempts that ended
// with v and w: it did run if either did, and did not run only if neither did.
func (v Verdict) Merge(w Verdict) Verdict {
	switch {
	case v == DidRun || w == DidRun:
		return DidRun
	case v == DidNotRun && w == DidNotRun:
		return DidNotRun
	default:
		return MayHaveRun
	}
}

// Error is an error with a verdict, a stable code and an optional wait before
// the caller may try again.
type Error struct {
	Verdict Verdict
	// Code is a stable machine-readable reason, for example "team-limit".
	Code string
	// RetryAfterMillis is zero if a retry is pointless or needs no wait.
	RetryAfterMillis int64
	Err              error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with a verdict and a code.
func New(v Verdict, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Err: eris.Errorf(format, args...)}
}

// Wrap adds a verdict and a code to err.
func Wrap(err error, v Verdict, code string) *Error {
	return &Error{Verdict: v, Code: code, Err: err}
}

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
