// Package logclient writes to and reads from the platform's log for one entry
// node. It puts records into batches, sends each batch until its fate is
// known, feeds a ledger.Replica, and rebuilds it from a snapshot when records
// are missing. It interprets no records apart from snapshot chunks.
package logclient
