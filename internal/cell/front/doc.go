// Package front serves the HTTP calls of callers: it finds the queue and the team
// of a call, stores submissions and cancellations, and reports the state of
// submissions. It owns no state of the cell. A success means that the work is
// stored. A response with status 503 means that it is not stored and never will
// be, so the package must not send one while a record may still be stored; it
// answers 504 then.
package front
