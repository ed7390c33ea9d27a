// Package homing chooses the home shards of the tasks of a job from summaries
// of the shards. It is deterministic: equal summaries give equal plans. A
// summary may be out of date, so a plan is a hint; the owner of a shard moves
// tasks on that do not fit.
package homing
