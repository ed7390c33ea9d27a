// Package lending decides when the owner of a shard draws units of a limit
// from the pool and when it returns them. It is deterministic: clock values
// and observations in, transfers out. A Lender is not safe for concurrent use;
// its shard's lock guards it.
//
// The ledger moves units between the pool and the allotments, so their sum is
// the limit. A Lender never grants more than the allotment that it has read,
// less the returns whose end is not known. A drawn unit counts once the record
// is read, a returned one stops to count before the record is sent.
//
// A Lender belongs to one token. Transfers of an earlier token have no effect
// once a claim was read, so a new owner starts with a new Lender.
package lending
