// Package scheduler decides about the hosts and the tasks of one shard. It is
// deterministic: the same events with the same clock values give the same
// actions. It reads no clock, opens no socket and starts no goroutine. A
// Scheduler is not safe for concurrent use; its shard's lock guards it.
package scheduler
