package node

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// ownerQueryTimeout is the timeout of a query to the owner of a shard about a job.
const ownerQueryTimeout = time.Second

// Status implements gateway.Backend.
func (n *Node) Status(ctx context.Context, caller gateway.Caller, id string) (gateway.JobStatus, error) {
	if _, err := n.visibleJob(caller, id); err != nil {
		return gateway.JobStatus{}, err
	}
	return n.jobStatus(ctx, work.JobID(id))
}

// jobStatus combines the logged outcomes with the tasks that the owners of the
// home shards report as running.
func (n *Node) jobStatus(ctx context.Context, id work.JobID) (gateway.JobStatus, error) {
	job, ok := n.replica.Job(id)
	if !ok {
		return gateway.JobStatus{}, refused(gateway.CodeNotFound, 0, "job %q is not known", id)
	}
	status := gateway.JobStatus{
		ID: string(id), Team: job.Job.Team, Queue: job.Job.Queue, State: gateway.StateEnded,
		Tasks: map[string]int32{}, Position: n.jobEvents.position(id),
	}
	for _, r := range job.Outcomes {
		status.Tasks[r.Outcome.String()] += r.Count
	}
	status.Execution = executionOf(&job)
	if job.Finished() {
		return status, nil
	}
	status.State = gateway.StateWaiting
	running, unknown := n.runningTasks(ctx, &job)
	if running > 0 {
		status.State = gateway.StateRunning
		status.Tasks["running"] = running
	}
	if rest := job.Job.Tasks - job.Done - running; rest > 0 {
		status.Tasks[work.Pending.String()] = rest
	}
	if unknown != "" {
		status.Reason = unknown
	}
	// A task without a logged outcome may be running at any time, so the verdict
	// is may-have-run unless a run is proved.
	if running > 0 && status.Execution != verdict.DidRun {
		status.Execution = verdict.DidRun
	}
	return status, nil
}

// executionOf returns whether the logged outcomes prove that a job ran or did not
// run.
func executionOf(job *ledger.Job) verdict.Verdict {
	noneRan := job.Finished()
	for _, r := range job.Outcomes {
		switch r.Outcome {
		case work.Succeeded, work.Failed, work.Stopped:
			return verdict.DidRun
		case work.Lost:
			noneRan = false
		}
	}
	if noneRan {
		return verdict.DidNotRun
	}
	return verdict.MayHaveRun
}

// runningTasks asks the owners of the home shards of a job for its number of
// running tasks. reason names a shard that has no owner or whose
// owner could not be queried, or is empty.
func (n *Node) runningTasks(ctx context.Context, job *ledger.Job) (running int32, reason string) {
	for _, answer := range n.queryOwners(ctx, job, false) {
		if answer.err != nil {
			reason = "shard " + answer.shard + " has no owner or its owner could not be queried"
			continue
		}
		for _, t := range answer.tasks {
			if t.Host != "" && t.Outcome == uint32(work.Pending) {
				running++
			}
		}
	}
	return running, reason
}

// shardAnswer is the answer of the owner of one shard about a job.
type shardAnswer struct {
	shard   string
	tasks   []*peerv1.TaskStatus
	reasons []string
	err     error
}

// queryOwners queries the owners of all home shards of a job concurrently.
func (n *Node) queryOwners(ctx context.Context, job *ledger.Job, explain bool) []shardAnswer {
	names := map[string]bool{}
	for _, p := range job.Parts {
		names[p.Shard] = true
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []shardAnswer
	for name := range names {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := n.queryOwner(ctx, job.Job.ID, name, explain)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
	wg.Wait()
	return answers
}

// queryOwner queries the owner of one shard.
func (n *Node) queryOwner(ctx context.Context, id work.JobID, shard string, explain bool) shardAnswer {
	claim := n.replica.Claim(shard)
	if claim.Node == n.settings.Node.Name && claim.Incarnation == n.incarnation {
		resp := n.queryLocal(id, shard, explain)
		return shardAnswer{shard: shard, tasks: resp.Tasks, reasons: resp.Reasons}
	}
	if claim.Node == "" {
		return shardAnswer{shard: shard, err: refused(gateway.CodeUnavailable, 0, "shard %s has no owner", shard)}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	resp, err := n.peers.QueryJob(ctx, claim.Node, &peerv1.QueryJobRequest{Job: string(id), Shard: shard, Explain: explain})
	if err != nil {
		return shardAnswer{shard: shard, err: err}
	}
	return shardAnswer{shard: shard, tasks: resp.Tasks, reasons: resp.Reasons}
}

// queryLocal answers a query for a shard that this process owns.
func (n *Node) queryLocal(id work.JobID, shard string, explain bool) *peerv1.QueryJobResponse {
	resp := &peerv1.QueryJobResponse{}
	o := n.shards.get(shard)
	if o == nil {
		resp.Reasons = []string{"Shard " + shard + " is being taken over."}
		return resp
	}
	resp.Known = true
	for _, t := range o.dispatcher.Tasks(id) {
		resp.Tasks = append(resp.Tasks, &peerv1.TaskStatus{
			Index: t.Task.Index, Attempt: t.Attempt, State: t.State, Host: t.Host, Outcome: uint32(t.Outcome),
		})
	}
	if explain {
		resp.Reasons = o.dispatcher.Explain(id)
	}
	return resp
}

// Explain implements gateway.Backend.
func (n *Node) Explain(ctx context.Context, caller gateway.Caller, id string) (gateway.Explanation, error) {
	job, err := n.visibleJob(caller, id)
	if err != nil {
		return gateway.Explanation{}, err
	}
	status, err := n.jobStatus(ctx, work.JobID(id))
	if err != nil {
		return gateway.Explanation{}, err
	}
	out := gateway.Explanation{Job: id, State: status.State}
	for _, a := range n.queryOwners(ctx, &job, true) {
		if a.err != nil {
			out.Reasons = append(out.Reasons, gateway.Reason{Code: "owner-silent", Detail: "shard " + a.shard + ": " + a.err.Error()})
			continue
		}
		for _, r := range a.reasons {
			out.Reasons = append(out.Reasons, gateway.Reason{Code: "waits", Detail: "shard " + a.shard + ": " + r})
		}
		for _, t := range a.tasks {
			if t.Host != "" && len(out.Running) < maxShownPlacements {
				out.Running = append(out.Running, gateway.Placement{Task: t.Index, Attempt: t.Attempt, Host: t.Host, Shard: a.shard})
			}
		}
	}
	return out, nil
}

// maxShownPlacements is the maximum number of placements in an explanation.
const maxShownPlacements = 100
