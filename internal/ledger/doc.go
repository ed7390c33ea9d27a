// Package ledger is the deterministic state machine over the records of the
// log. Every node that applies the same records has the same state, however
// the records were read. It reads no clock, starts no goroutine and sends
// nothing; Replica makes it safe for concurrent use.
package ledger
