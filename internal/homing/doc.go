// Package homing chooses the home shard of each task of a job, the shard whose
// scheduler the task is assigned to. It decides from summaries of the shards and
// must stay deterministic: equal summaries give equal plans. Summaries may be out
// of date, so the plan of an accepted job is not final: the owner of a shard may
// move waiting tasks that do not fit to another shard.
package homing
