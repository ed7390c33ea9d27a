// Package scheduler owns the state of the hosts and the tasks of one shard and
// decides which task starts, stops or ends where. It is deterministic: the same
// events with the same clock values give the same actions. It must never read a
// clock, open a socket or start a goroutine. A Scheduler is not safe for
// concurrent use; the lock of its shard guards it.
package scheduler
