package node

import (
	"github.com/medlarpulley/medlarpulley/internal/homing"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// moveTasks moves waiting tasks to a shard with free capacity for them, and with
// free units of their limit if they wait only for those. If no host of this shard
// accepts tasks, it moves them to the shard that FallbackTarget selects. They are
// removed from the scheduler before the append, so that they cannot start here
// once the other shard may own them.
func (n *Node) moveTasks(from string, offer scheduler.OfferTasks) {
	o := n.shards.get(from)
	if o == nil {
		return
	}
	shards := n.shardInfos()
	if offer.Limit != "" {
		shards = limitTargets(from, shards, n.demandByShard(), offer.Limit, offer.LimitUnits)
	}
	to, fitting := homing.MoveTarget(offer.Size, from, shards)
	if to == "" && o.summary(n.clock.Now()).ReadyHosts == 0 {
		to, fitting = homing.FallbackTarget(offer.Size, from, shards)
	}
	if to == "" || n.logUnavailable() {
		return
	}
	job, ok := n.replica.Job(offer.Job)
	count := min(int64(offer.Count), fitting)
	if !ok || (job.Job.Kind != work.Batch && count < int64(offer.Count)) {
		return
	}
	moved := scheduler.TasksMoved{Job: offer.Job, First: offer.First, Count: int32(count)}
	n.shards.beginMove(from)
	defer n.shards.endMove(from)
	if moved.Count = o.dispatcher.TakeTasks(moved, job.Job.Idempotent); moved.Count == 0 {
		return
	}
	// The append has no timeout: until its outcome is known, the tasks belong to
	// neither shard.
	_, err := recorder{n.logClient}.appendEffective(n.ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
		Job: string(offer.Job), First: moved.First, Count: moved.Count, From: from, To: to, Token: o.token}}})
	if err != nil && verdict.Of(err) == verdict.DidNotRun {
		o.dispatcher.AddJob(scheduler.JobAdded{Job: job.Job, First: moved.First, Count: moved.Count, Age: n.shards.ageOf(offer.Job)}, false)
	}
	n.log.Debug("A move of tasks to another shard was attempted.", "job", offer.Job, "first", moved.First, "count", moved.Count, "from", from, "to", to, "error", err)
}
