// Package gateway serves HTTP to callers and operators. It authenticates,
// decodes strictly and maps verdicts to HTTP; every decision is made by its
// Backend.
package gateway

import "context"

// Backend decides about what callers and operators ask for. An error should
// be a *verdict.Error, possibly around objects.Faults or a *Conflict; its code
// selects the HTTP status. An error without a verdict counts as may-have-run
// and gives status 500. All methods are called concurrently.
type Backend interface {
	// Authenticate returns the team of a key. It fails with did-not-run:
	// code unauthenticated for an unknown key, not-fresh if the node cannot
	// prove that its configuration is fresh.
	Authenticate(ctx context.Context, key string) (team string, err error)
	// Submit accepts a job. With wait it returns when the job has ended or ctx
	// is done; then the status says what is known. Jobs with an id that was
	// accepted before and an equal spec are answered with that job's status.
	Submit(ctx context.Context, caller Caller, job JobSpec, wait bool) (JobStatus, error)
	// SubmitBatch accepts each job on its own and returns one result for each,
	// in order. An error means that no job of the batch was looked at.
	SubmitBatch(ctx context.Context, caller Caller, jobs []JobSpec) ([]BatchResult, error)
	// Status returns what is known about a job.
	Status(ctx context.Context, caller Caller, job string) (JobStatus, error)
	// Watch calls emit for each event of a job from a position on, in order,
	// until the job has ended, ctx is done or emit fails. Code gone means that
	// events from that position are no longer kept.
	Watch(ctx context.Context, caller Caller, job string, position uint64, emit func(JobEvent) error) error
	// Cancel cancels a job.
	Cancel(ctx context.Context, caller Caller, job string) (JobStatus, error)
	// Explain says why the tasks of a job wait or where they run.
	Explain(ctx context.Context, caller Caller, job string) (Explanation, error)

	// Publish changes objects as a whole or not at all. Code conflict goes
	// with a *Conflict, code invalid-objects with objects.Faults.
	Publish(ctx context.Context, p Publication) (PublishResult, error)
	// Objects returns the published objects that the query selects.
	Objects(ctx context.Context, q ObjectQuery) (ObjectList, error)
	// Diff returns the changes from one revision to another.
	Diff(ctx context.Context, from, to uint64) (RevisionDiff, error)
	// RevisionStatus says on how many members a revision is in force.
	RevisionStatus(ctx context.Context, revision uint64) (RevisionStatus, error)
	// Dump returns the state of this process as a value with a JSON form.
	Dump(ctx context.Context) (any, error)
	// Drain begins a planned stop of this process and returns.
	Drain(ctx context.Context) error
	// Ready returns an error while this process should get no traffic.
	Ready(ctx context.Context) error
}
