// Package verdict reports to a caller whether its request or task was executed.
//
// The component that knows the outcome sets the verdict, and it is forwarded
// unchanged to the caller. Code in between may only weaken a verdict to
// MayHaveRun; it must never turn MayHaveRun into DidNotRun or DidRun.
package verdict

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Verdict is what is known about the execution of a request.
// The zero value is MayHaveRun, so a verdict that was never set claims nothing.
type Verdict uint8

const (
	// MayHaveRun means that execution can be neither proved nor ruled out.
	MayHaveRun Verdict = iota
	// DidNotRun means that execution provably did not start and never will.
	DidNotRun
	// DidRun means that the request was provably executed.
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

// Parse returns the verdict of a wire form. It fails on any text that String
// does not return.
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

// Merge combines the verdicts of two attempts of one request: DidRun if either
// attempt ran, DidNotRun only if both did not run, else MayHaveRun.
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

// Error is an error with a verdict, a stable code and an optional delay before
// the caller should retry.
type Error struct {
	Verdict Verdict
	// Code is a stable machine-readable reason, for example "team-limit".
	Code string
	// RetryAfterMillis is zero if a retry can't succeed or needs no delay.
	RetryAfterMillis int64
	Err              error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.Err)
}

// Unwrap returns the wrapped error.
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
