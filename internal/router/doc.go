// Package router decides about requests: which runner serves one, which slots
// may be used, who waits, who is refused and whether a request may be sent.
//
// Every type is deterministic. Times are monotonic durations since the start
// of the process and are passed in by the caller. No type locks; the owner of
// a value guards it.
package router
