// Package lending distributes the units of limits over the shards. It
// decides when the owner of a shard draws units of a limit from the common pool
// and when it returns them. It is deterministic: it takes clock values and
// observations and returns transfers. A Lender is not safe for concurrent use;
// its shard's lock guards it.
//
// The ledger moves units between the pool and the allotments of the shards, so
// the pool and the allotments always add up to the limit. A Lender never grants
// more than the allotment that it has read, less the returns whose result is
// not known. Drawn units count once the transfer record is read; returned units
// stop counting before the record is sent.
//
// A Lender belongs to one fencing token. Transfers under an earlier token have no
// effect once a later claim was read, so a new owner starts with a new Lender.
package lending
