package faultmatrix

import (
	"fmt"
	"slices"
	"syscall"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// step is one column of the matrix. trigger starts the work that leads to the
// step; reached reports whether the step has been reached, and where.
type step struct {
	name    string
	trigger func(*cell)
	reached func(*cell) (location, bool)
}

// cell is the injection of one fault at one step.
type cell struct {
	*testCluster
	step       step
	id         string
	entryIndex int
	fromOffset uint64
	trace      *trace
	// stoppedNode is the node that the step itself stops; nil if it stops none.
	stoppedNode *process
}

// entry is the entry node that the caller of the cell uses first.
func (c *cell) entry() location { return location{node: c.processes[c.entryIndex].name} }

// steps are the columns of the matrix.
var steps = []step{
	{"submit", idempotentJob("run=200ms"), func(c *cell) (location, bool) { return c.entry(), c.trace.connected.Load() }},
	{"admit", idempotentJob("run=200ms"), func(c *cell) (location, bool) { return c.entry(), c.trace.wrote.Load() }},
	{"log", idempotentJob("run=200ms"), onRecord(func(c *cell, r *ledgerv1.Record) bool { return r.GetJobAccepted().GetJob().GetId() == c.id })},
	{"queue", idempotentJob("run=200ms"), func(c *cell) (location, bool) { return location{node: c.owner(c.id)}, c.trace.answered.Load() }},
	{"place", jobStep(false, "run=200ms", false), onRecord(func(c *cell, r *ledgerv1.Record) bool {
		for _, a := range r.GetIntents().GetAttempts() {
			if a.Job == c.id {
				return true
			}
		}
		return false
	})},
	{"start", idempotentJob("run=200ms"), onExecution(func(standin.Execution) bool { return true })},
	{"run", idempotentJob("run=1s"), onExecution(func(x standin.Execution) bool { return !x.Ended })},
	{"report", jobStep(false, "run=100ms", false), onExecution(func(x standin.Execution) bool { return x.Ended })},
	{"finish", idempotentJob("run=100ms"), onRecord(func(c *cell, r *ledgerv1.Record) bool { return r.GetOutcomes().GetJob() == c.id })},
	{"answer", jobStep(true, "run=100ms", true), func(c *cell) (location, bool) {
		_, ok := c.findRecord(c.fromOffset, func(r *ledgerv1.Record) bool { return r.GetOutcomes().GetJob() == c.id })
		return c.entry(), ok
	}},
	{"publish", publication, func(c *cell) (location, bool) { return c.entry(), c.trace.connected.Load() }},
	{"check", publication, func(c *cell) (location, bool) { return c.entry(), c.trace.wrote.Load() }},
	{"append", publication, onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetPublication() != nil })},
	{"apply", publication, func(c *cell) (location, bool) { return c.entry(), c.trace.answered.Load() }},
	{"renew", func(*cell) {}, onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetRenewal() != nil })},
	{"lend", borrowingJob("run=300ms"), onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetTransfer() != nil && r.GetTransfer().From == "" })},
	{"return", wholeLimitJob, onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetTransfer() != nil && r.GetTransfer().To == "" })},
	{"drain", stopOwner(syscall.SIGTERM), func(c *cell) (location, bool) { return c.entry(), true }},
	{"hand over", stopOwner(syscall.SIGTERM), onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetRelease() != nil })},
	{"claim", stopOwner(syscall.SIGTERM), onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetClaim() != nil })},
	{"take over", stopOwner(syscall.SIGKILL), onRecord(func(_ *cell, r *ledgerv1.Record) bool { return r.GetClaim().GetSupersedes() != 0 })},
}

func idempotentJob(command string) func(*cell) { return jobStep(true, command, false) }

func jobStep(idempotent bool, command string, wait bool) func(*cell) {
	return func(c *cell) { c.submit(c.entryIndex, ordersKey, job(c.id, 4, idempotent, command), c.trace, wait) }
}

func publication(c *cell) { c.changeLimit(c.entryIndex, c.trace) }

// borrowingJob returns a trigger that submits a job which needs more units of the
// limit than its shard holds.
func borrowingJob(command string) func(*cell) {
	return func(c *cell) {
		c.submitPatterns(job(c.id, patternsSeats, true, command))
	}
}

// wholeLimitJob submits a job of one task that needs all units of the limit, so
// that it cannot end before the other shards have returned theirs, or before its
// own shard can return what it holds above its equal share. A job of many small
// tasks ends with the units of its shard alone: in 15 s, while a takeover of the
// other shards and their return took 14 s without other load on the machine.
func wholeLimitJob(c *cell) {
	spec := job(c.id, 1, true, "run=200ms")
	spec.Size = seatSize.Scale(patternsSeats)
	c.submitPatterns(spec)
}

// submitPatterns submits a job of the team patterns.
func (c *cell) submitPatterns(spec gateway.JobSpec) {
	spec.Team, spec.Queue = "patterns", "nightly"
	c.submit(c.entryIndex, patternsKey, spec, c.trace, false)
}

// stopOwner returns a trigger that sends a signal to the owner of a random shard.
// The log names an owner that was killed and started again in an earlier cell
// until its shard is taken over. A signal to its new process, which owns nothing,
// would lead to no release. So the trigger waits until the process itself reports
// the shard, and only later events count for the step.
func stopOwner(s syscall.Signal) func(*cell) {
	return func(c *cell) {
		shards := []string{"zone-a/0", "zone-b/0", "zone-c/0"}
		shard := shards[c.random.IntN(len(shards))]
		owner := 0
		c.waitFor(stepTimeout, func() bool {
			name := c.owners()[shard]
			owner = max(0, slices.IndexFunc(c.processes, func(p *process) bool { return p.name == name }))
			return c.reportsShard(c.processes[owner], shard) || c.waitFor(20*pollInterval, never)
		})
		c.entryIndex, c.stoppedNode, c.fromOffset = owner, c.processes[owner], c.nextOffset()
		c.stoppedNode.signal(s)
		c.callers.Go(func() { c.stoppedNode.stop(s) })
	}
}

func onRecord(match func(*cell, *ledgerv1.Record) bool) func(*cell) (location, bool) {
	return func(c *cell) (location, bool) {
		return c.findRecord(c.fromOffset, func(r *ledgerv1.Record) bool { return match(c, r) })
	}
}

func onExecution(match func(standin.Execution) bool) func(*cell) (location, bool) {
	return func(c *cell) (location, bool) {
		for _, x := range c.cluster.Fleet.Journal().Executions() {
			if x.Attempt.Task.Job == work.JobID(c.id) && match(x) {
				return location{c.owner(c.id), x.Host}, true
			}
		}
		return location{}, false
	}
}

// cellName returns the name of a cell in reports.
func cellName(fault, step string) string { return fmt.Sprintf("%s @ %s", fault, step) }
