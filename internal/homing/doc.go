// Package homing chooses the home shard of each task of a job, the shard whose
// scheduler the task is assigned to first. It decides from summaries of the shards
// and must stay deterministic: equal summaries give equal plans. Summaries may be
// out of date, so a plan is only a hint; the owner of a shard moves tasks that do
// not fit to another shard.
package homing
