package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/homing"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

const (
	// minLeaseIntervals is the shortest accepted lease of a job, in intervals of
	// the exchanges with workers: a task then survives one lost exchange and one
	// late exchange.
	minLeaseIntervals = 3
	// acceptTimeout is the timeout for appending the record of a submission to
	// the log.
	acceptTimeout = 10 * time.Second
	// logRetryAfter is the retry delay that callers receive with refusals that
	// depend on the log, for example while it is unavailable.
	logRetryAfter = 2 * time.Second
	// jobPollInterval is the interval at which a waiting submission checks its
	// job in addition to the events of the log.
	jobPollInterval = time.Second
)

// Submit implements gateway.Backend.
func (n *Node) Submit(ctx context.Context, caller gateway.Caller, spec gateway.JobSpec, wait bool) (gateway.JobStatus, error) {
	job := spec.Job()
	if err := n.admitJob(caller, job); err != nil {
		return gateway.JobStatus{}, err
	}
	if err := n.acceptJob(ctx, job); err != nil {
		return gateway.JobStatus{}, err
	}
	if wait {
		n.awaitJob(ctx, job.ID)
	}
	return n.jobStatus(ctx, job.ID)
}

// SubmitBatch implements gateway.Backend.
func (n *Node) SubmitBatch(ctx context.Context, caller gateway.Caller, specs []gateway.JobSpec) ([]gateway.BatchResult, error) {
	results := make([]gateway.BatchResult, len(specs))
	done := make(chan int, len(specs))
	slots := make(chan struct{}, maxConcurrentAccepts)
	for i, spec := range specs {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; done <- i }()
			status, err := n.Submit(ctx, caller, spec, false)
			if err != nil {
				results[i] = gateway.FailedBatchResult(spec.ID, err)
				return
			}
			results[i] = gateway.BatchResult{ID: spec.ID, Verdict: verdict.DidRun, Status: &status}
		}()
	}
	for range specs {
		<-done
	}
	return results, nil
}

// maxConcurrentAccepts is the maximum number of jobs of one batch that wait for
// the log at once.
const maxConcurrentAccepts = 256

// admitJob returns an error if a job may not be submitted. The error has the
// verdict DidNotRun.
func (n *Node) admitJob(caller gateway.Caller, job work.Job) error {
	if n.draining.Load() {
		return refused(gateway.CodeDraining, 0, "this entry node is draining")
	}
	if err := n.checkConfigFresh(); err != nil {
		return err
	}
	if minLease := minLeaseIntervals * n.settings.Platform.WorkerInterval; job.Lease < minLease {
		return refused(gateway.CodeBadRequest, 0, "lease is %s, at least %s is accepted: leases are renewed every %s", job.Lease, minLease, n.settings.Platform.WorkerInterval)
	}
	c := n.configurations.get()
	keyTeam := caller.Team
	if caller.Operator {
		keyTeam = job.Team
	}
	if !c.set.MaySubmit(keyTeam, job.Team, job.Queue) {
		return refused(gateway.CodeForbidden, 0, "team %q may not submit to queue %q with this key", job.Team, job.Queue)
	}
	return checkLimit(c.contract, job)
}

// checkLimit returns an error if a job can never run within the limit of its team.
func checkLimit(c scheduler.Contract, job work.Job) error {
	limit, ok := c.Limits[c.Teams[job.Team].Limit]
	if !ok {
		return refused(gateway.CodeTeamLimit, 0, "team %q has no limit", job.Team)
	}
	units, ok := job.Size.UnitsNeeded(limit.Unit)
	if !ok {
		return refused(gateway.CodeTeamLimit, 0, "infeasible: a task needs %s, which no number of units covers: one %s is %s", job.Size, limit.UnitName, limit.Unit)
	}
	if job.Kind == work.Gang {
		units *= int64(job.Tasks)
	}
	if units > limit.Units {
		return refused(gateway.CodeTeamLimit, 0, "infeasible: limit %s is %d %s, the job needs %d at once", limit.Name, limit.Units, limit.UnitName, units)
	}
	return nil
}

// refused returns an error with the verdict DidNotRun.
func refused(code string, retryAfter time.Duration, format string, args ...any) error {
	err := verdict.New(verdict.DidNotRun, code, format, args...)
	err.RetryAfterMillis = retryAfter.Milliseconds()
	return err
}

// acceptJob appends a job with its home shards to the log. It returns only after
// the record has been read back, so an accepted job survives the end of this
// process.
func (n *Node) acceptJob(ctx context.Context, job work.Job) error {
	if known, ok := n.replica.Job(job.ID); ok {
		if known.Job == job {
			return nil
		}
		return refused(gateway.CodeIDReused, 0, "job %q exists with other content", job.ID)
	}
	parts, err := homing.Plan(job, n.shardInfos())
	if err != nil {
		return err
	}
	if n.logUnavailable() {
		return refused(gateway.CodeLogUnavailable, logRetryAfter, "the log is unavailable, so the job cannot be accepted")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	record := jobRecord(job, parts)
	receipt, err := n.logClient.Submit(ctx, record, logclient.PriorityOf(record))
	if err != nil {
		return verdict.Wrap(err, verdict.Of(err), gateway.CodeLogUnavailable)
	}
	return submissionResult(job, receipt.Events)
}

// submissionResult returns the result of a submission from the events of its
// record.
func submissionResult(job work.Job, events []ledger.Event) error {
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.JobAccepted, ledger.JobDuplicate:
			return nil
		case ledger.JobConflict:
			return refused(gateway.CodeIDReused, 0, "job %q exists with other content", job.ID)
		case ledger.JobRefused:
			return refused(gateway.CodeQueueFull, logRetryAfter, "job %q was refused: %s", job.ID, ev.Reason)
		}
	}
	return refused(gateway.CodeUnavailable, logRetryAfter, "job %q was not accepted: its log record had no effect", job.ID)
}

// jobRecord returns the log record that accepts a job.
func jobRecord(job work.Job, parts []homing.Part) *ledgerv1.Record {
	accepted := &ledgerv1.JobAccepted{Job: &ledgerv1.Job{
		Id: string(job.ID), Team: job.Team, Queue: job.Queue, Kind: uint32(job.Kind), Class: uint32(job.Class), Tasks: job.Tasks,
		Size:       &ledgerv1.Vector{MilliCpu: job.Size.MilliCPU, MemoryMib: job.Size.MemoryMiB, Accelerators: job.Size.Accelerators},
		Idempotent: job.Idempotent, LeaseMillis: job.Lease.Milliseconds(), RuntimeMillis: job.Runtime.Milliseconds(),
		DeadlineMillis: job.Deadline.Milliseconds(), Template: job.Template, Command: job.Command,
	}}
	for _, p := range parts {
		accepted.Parts = append(accepted.Parts, &ledgerv1.Part{Shard: p.Shard, First: p.First, Count: p.Count})
	}
	return &ledgerv1.Record{Kind: &ledgerv1.Record_JobAccepted{JobAccepted: accepted}}
}

// awaitJob waits until a job has ended or ctx is done.
func (n *Node) awaitJob(ctx context.Context, id work.JobID) {
	for {
		changed := n.jobEvents.changed(id)
		if job, ok := n.replica.Job(id); !ok || job.Finished() {
			return
		}
		timer := time.NewTimer(jobPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Cancel implements gateway.Backend.
func (n *Node) Cancel(ctx context.Context, caller gateway.Caller, id string) (gateway.JobStatus, error) {
	job, err := n.visibleJob(caller, id)
	if err != nil {
		return gateway.JobStatus{}, err
	}
	if !job.Finished() && job.Cancelled == 0 {
		if n.logUnavailable() {
			return gateway.JobStatus{}, refused(gateway.CodeLogUnavailable, logRetryAfter, "the log is unavailable, so the job was not cancelled")
		}
		record := &ledgerv1.Record{Kind: &ledgerv1.Record_JobCancelled{JobCancelled: &ledgerv1.JobCancelled{Job: id}}}
		if _, err := n.logClient.Submit(ctx, record, logclient.PriorityOf(record)); err != nil {
			return gateway.JobStatus{}, verdict.Wrap(err, verdict.Of(err), gateway.CodeLogUnavailable)
		}
	}
	return n.jobStatus(ctx, work.JobID(id))
}

// visibleJob returns a job that the caller may query. For a job of another team
// it returns the same error as for an unknown job.
func (n *Node) visibleJob(caller gateway.Caller, id string) (ledger.Job, error) {
	job, ok := n.replica.Job(work.JobID(id))
	if !ok {
		return ledger.Job{}, refused(gateway.CodeNotFound, 0, "job %q is not known", id)
	}
	open := n.configurations.get().set.MaySubmit("", job.Job.Team, job.Job.Queue)
	if !caller.Operator && !open && caller.Team != job.Job.Team {
		return ledger.Job{}, refused(gateway.CodeNotFound, 0, "job %q is not known", id)
	}
	return job, nil
}
