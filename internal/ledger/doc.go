// Package ledger implements the replicated state machine of the log: members,
// shard ownership, configuration, limits, host sets, jobs and task outcomes.
// It is deterministic: nodes that apply the same records have equal states,
// whether they read every record or started from a snapshot. It must never read
// a clock, start a goroutine or send anything. State is not safe for concurrent
// use; Replica is.
package ledger
