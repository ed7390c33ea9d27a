// Package ownership decides which shards this process has authority over, that
// is, for which shards and until when it may send commands to hosts. It is
// deterministic: it takes clock values and typed events and returns typed
// actions. It never reads a clock, opens a socket or starts a goroutine. A
// Manager is not safe for concurrent use; its caller holds a lock around each
// call.
//
// # Safety argument
//
// Let an owner X hold fencing token T, and let a claim at log offset C supersede
// T.
//
// Log mode. A renewal at offset R takes effect for X only after X has read past R.
// If R > C, X has by then read C and given up T. So only renewals with R < C
// take effect, and a successor that has read its own claim has read all of
// them. It reads each renewal after it was appended, hence after it was sent,
// so X's authority has expired when TakeoverDelay has passed on the successor's
// clock since that read.
//
// Outage mode. X extends T to s+ConfirmationValidity, where s is the time at
// which it sent its request, only with confirmations from Quorum members of a
// member set M that X knows, itself included. X has read at least up to the
// offset that its last renewal in effect declared and not past C, so M is one of
// the sets in that range. For each of these sets the successor has
// acknowledgements from more than n-Quorum of the n members of M other than X,
// or needs none if M is smaller than Quorum. So every quorum of X contains a
// member P that acknowledged. P had read C, so it does not confirm T
// afterwards. A confirmation that P gave before is older than PromiseDuration,
// since P does not acknowledge while its promise is in force; X sent its
// request before that confirmation, so its extension has expired. A P that has
// restarted no longer knows its promise and waits PromiseDuration before it
// acknowledges; it confirms only after it has read its own Join, which lies
// after everything that the earlier incarnation read.
//
// Successive claims. A claimant that never became active proves nothing about
// the owner before it. Holding.Previous therefore lists every holder that is
// not proved to have given up its token, and a successor satisfies both rules
// for each of them.
package ownership
