// Package gateway serves the HTTP API for callers and operators. It
// authenticates requests, decodes them strictly and maps verdicts to HTTP
// statuses. It must not make scheduling or publication decisions itself; its
// Backend makes all of them.
package gateway

import "context"

// Backend executes the operations that callers and operators request. An error
// should be a *verdict.Error, which may wrap objects.Faults or a *Conflict; its
// code selects the HTTP status. An error without a verdict is reported as
// may-have-run with status 500, or 504 if it is context.DeadlineExceeded. All
// methods are called concurrently.
type Backend interface {
	// Authenticate returns the team of a key. It fails with verdict did-not-run:
	// code unauthenticated for an unknown key, not-fresh if the node cannot
	// prove that its configuration is up to date.
	Authenticate(ctx context.Context, key string) (team string, err error)
	// Submit accepts a job. If wait is set, it returns when the job has ended or
	// ctx is done; in the latter case the status says what is known by then. A
	// job with the id and the spec of a previously accepted job returns the
	// status of that job.
	Submit(ctx context.Context, caller Caller, job JobSpec, wait bool) (JobStatus, error)
	// SubmitBatch accepts or rejects each job independently and returns one
	// result per job, in order. An error means that no job of the batch was
	// processed.
	SubmitBatch(ctx context.Context, caller Caller, jobs []JobSpec) ([]BatchResult, error)
	// Status returns what is known about a job.
	Status(ctx context.Context, caller Caller, job string) (JobStatus, error)
	// Watch calls emit for each known outcome of a job and then for each new one,
	// until the job has ended, ctx is done or emit fails. A resumed watch may
	// repeat events. The positions of the events are above position. CodeGone
	// means that the job is no longer retained.
	Watch(ctx context.Context, caller Caller, job string, position uint64, emit func(JobEvent) error) error
	// Cancel cancels a job.
	Cancel(ctx context.Context, caller Caller, job string) (JobStatus, error)
	// Explain says why the tasks of a job wait or where they run.
	Explain(ctx context.Context, caller Caller, job string) (Explanation, error)

	// Publish applies all changes of a publication atomically. An error with
	// code conflict wraps a *Conflict, one with code invalid-objects wraps
	// objects.Faults.
	Publish(ctx context.Context, p Publication) (PublishResult, error)
	// Objects returns the published objects that the query selects.
	Objects(ctx context.Context, q ObjectQuery) (ObjectList, error)
	// Diff returns the changes from one revision to another.
	Diff(ctx context.Context, from, to uint64) (RevisionDiff, error)
	// RevisionStatus returns the number of members on which a revision is in
	// force.
	RevisionStatus(ctx context.Context, revision uint64) (RevisionStatus, error)
	// Dump returns the state of this process as a value with a JSON form.
	Dump(ctx context.Context) (any, error)
	// Drain starts a planned shutdown of this process and returns without
	// waiting for it.
	Drain(ctx context.Context) error
	// Ready returns an error while this process should not receive traffic.
	Ready(ctx context.Context) error
}
