// Package ownership decides which shards this process has authority over. It
// is deterministic: clock values and typed events in, typed actions out. It
// reads no clock, opens no socket and starts no goroutine. A Manager is not
// safe for concurrent use; its caller holds a lock around each call.
//
// # Safety argument
//
// Let an owner X hold token T, and let a claim at offset C supersede T.
//
// Log mode. A renewal at offset R counts for X only after X has read past R.
// If R > C, X has then read C and given up T. So only renewals with R < C
// count, and a successor that has read its claim has read all of them. It read
// each after it was appended, hence after it was sent, so X's authority is
// over when the successor's own time since that read exceeds TakeoverWait.
//
// Outage mode. X extends T to s+OutageExtension only with Quorum members of a
// member set M that X knows, itself included. X has read at least up to the
// offset that its last counting renewal declared and not past C, so M is one
// of the sets in that range. For each of these sets the successor has
// acknowledgements from more than n-Quorum of the n members of M other than X,
// none if M is below Quorum, so every
// quorum of X contains a member P that acknowledged. P had read C, so it does
// not confirm T afterwards. A confirmation that P gave before is older than
// PromiseTime, since P does not acknowledge while its promise runs; X's
// request was sent before that confirmation, so its extension is over. A
// restarted P has forgotten its promise and waits PromiseTime before it
// acknowledges; it confirms only after it has read its own Join, which lies
// after everything that the earlier incarnation read.
//
// Chains. A claimant that never started to act proves nothing about the owner
// before it. Holding.Previous therefore lists every holder that is not proved
// to have given up, and a successor satisfies both rules for each of them.
package ownership
