// Package logclient reads and writes the platform's log for one entry node. It
// combines records into batches, retries the append of a batch until its outcome
// is known, applies the records of the log to a ledger.Replica, and restores the
// replica from a snapshot when records are missing. It must not interpret records,
// apart from their kind and snapshot chunks.
package logclient
