// Package front answers callers: it finds the queue and the team of a call,
// stores submissions and cancellations, and tells the state of submissions. A
// success means that the work is stored; a refusal with 429 or 503 means that
// it is not and never will be.
package front
