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

// queryTimeout bounds the question about a job to the owner of a shard.
const queryTimeout = time.Second

// Status implements gateway.Backend.
func (n *Node) Status(ctx context.Context, caller gateway.Caller, id string) (gateway.JobStatus, error) {
	if _, err := n.visibleJob(caller, id); err != nil {
		return gateway.JobStatus{}, err
	}
	return n.jobStatus(ctx, work.JobID(id))
}

// jobStatus combines the logged outcomes with what the owners know.
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
	// A task without a logged outcome may be running at any time, so only a
	// proved run says more than may-have-run.
	if running > 0 && status.Execution != verdict.DidRun {
		status.Execution = verdict.DidRun
	}
	return status, nil
}

// executionOf returns what the log proves about the execution of a job.
func executionOf(job *ledger.Job) verdict.Verdict {
	allProvedIdle := job.Finished()
	for _, r := range job.Outcomes {
		switch r.Outcome {
		case work.Succeeded, work.Failed, work.Stopped:
			return verdict.DidRun
		case work.Lost:
			allProvedIdle = false
		}
	}
	if allProvedIdle {
		return verdict.DidNotRun
	}
	return verdict.MayHaveRun
}

// runningTasks asks the owners of the home shards of a job.
func (n *Node) runningTasks(ctx context.Context, job *ledger.Job) (running int32, unknown string) {
	for _, answer := range n.queryOwners(ctx, job, false) {
		if answer.err != nil {
			unknown = "the owner of shard " + answer.shard + " does not answer"
			continue
		}
		for _, t := range answer.tasks {
			if t.Host != "" && t.Outcome == uint32(work.Pending) {
				running++
			}
		}
	}
	return running, unknown
}

// shardAnswer is what the owner of one shard says about a job.
type shardAnswer struct {
	shard   string
	tasks   []*peerv1.TaskStatus
	reasons []string
	err     error
}

// queryOwners asks the owner of each home shard of a job at the same time.
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

// queryOwner asks the owner of one shard.
func (n *Node) queryOwner(ctx context.Context, id work.JobID, shard string, explain bool) shardAnswer {
	claim := n.replica.Claim(shard)
	if claim.Node == n.settings.Node.Name && claim.Incarnation == n.incarnation {
		resp := n.queryLocal(id, shard, explain)
		return shardAnswer{shard: shard, tasks: resp.Tasks, reasons: resp.Reasons}
	}
	if claim.Node == "" {
		return shardAnswer{shard: shard, err: refused(gateway.CodeUnavailable, 0, "shard %s has no owner", shard)}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp, err := n.peers.QueryJob(ctx, claim.Node, &peerv1.QueryJobRequest{Job: string(id), Shard: shard, Explain: explain})
	if err != nil {
		return shardAnswer{shard: shard, err: err}
	}
	return shardAnswer{shard: shard, tasks: resp.Tasks, reasons: resp.Reasons}
}

// queryLocal answers for a shard that this process acts for.
func (n *Node) queryLocal(id work.JobID, shard string, explain bool) *peerv1.QueryJobResponse {
	resp := &peerv1.QueryJobResponse{}
	o := n.shards.get(shard)
	if o == nil {
		resp.Reasons = []string{"Shard " + shard + " is being taken over."}
		return resp
	}
	resp.Known = true
	for _, t := range o.run.Tasks(id) {
		resp.Tasks = append(resp.Tasks, &peerv1.TaskStatus{
			Index: t.Task.Index, Attempt: t.Attempt, State: t.State, Host: t.Host, Outcome: uint32(t.Outcome),
		})
	}
	if explain {
		resp.Reasons = o.run.Explain(id)
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

// maxShownPlacements bounds the placements in an explanation.
const maxShownPlacements = 100
