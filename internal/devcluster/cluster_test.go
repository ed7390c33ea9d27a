package devcluster

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// testTimeout limits the duration of a test. It is far longer than any test needs.
const testTimeout = 3 * time.Minute

// startCluster starts a cluster and publishes the objects of an example deployment.
func startCluster(t *testing.T, o Options, example string) (*Cluster, context.Context) {
	t.Helper()
	if os.Getenv("CLUSTER_LOG") != "" {
		o.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	c, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	changes, err := ExampleChanges(example)
	if err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "publication of the example objects", func() error {
		_, err := c.Publish(ctx, changes)
		return err
	})
	return c, ctx
}

// eventually repeats f until it succeeds or ctx ends.
func eventually(ctx context.Context, t *testing.T, what string, f func() error) {
	t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// batchJob returns a batch job of a team of the hawkrest example.
func batchJob(id string, tasks int32, idempotent bool, command string) gateway.JobSpec {
	return gateway.JobSpec{
		ID: id, Team: "orders", Queue: "orders", Tasks: tasks, Idempotent: idempotent,
		Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: objects.Duration(10 * time.Second), Command: command,
	}
}

// submitAndWait submits a job, waits until it has ended and returns its status.
func submitAndWait(ctx context.Context, t *testing.T, c *Cluster, job gateway.JobSpec) gateway.JobStatus {
	t.Helper()
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	eventually(ctx, t, "submission", func() error {
		_, err := client.Submit(ctx, job, false)
		return err
	})
	var status gateway.JobStatus
	eventually(ctx, t, "end of "+job.ID, func() error {
		if status, err = client.Status(ctx, job.ID); err == nil && status.State != gateway.StateEnded {
			err = fmt.Errorf("state %s: %v %s", status.State, status.Tasks, status.Reason)
		}
		return err
	})
	return status
}

// checkExecutions checks the executions that the workers recorded against the
// invariants on hosts, on a single place per task and on at-most-once execution.
func checkExecutions(t *testing.T, c *Cluster, idempotent func(work.JobID) bool) {
	t.Helper()
	executions := c.Fleet.Journal().Executions()
	violations := append(standin.CheckHosts(executions), standin.CheckNoConcurrentAttempts(executions)...)
	violations = append(violations, standin.CheckAtMostOnce(executions, idempotent)...)
	for _, v := range violations {
		t.Error(v)
	}
}

// Guards against tasks that are lost on the way from a caller to the workers, or
// whose results are lost on the way back.
func TestJobsRunToCompletion(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	for _, idempotent := range []bool{true, false} {
		id := fmt.Sprintf("job-%v", idempotent)
		status := submitAndWait(ctx, t, c, batchJob(id, 100, idempotent, "run=50ms"))
		if status.Tasks[work.Succeeded.String()] != 100 {
			t.Errorf("%s ended with tasks %v", id, status.Tasks)
		}
	}
	checkExecutions(t, c, func(id work.JobID) bool { return id == "job-true" })
}

// Guards against tasks that never run elsewhere after their availability zone
// has failed, or that run twice.
func TestZoneFailureReschedulesTasks(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	job := batchJob("zone-job", 90, true, "run=3s")
	eventually(ctx, t, "submission", func() error {
		_, err := client.Submit(ctx, job, false)
		return err
	})
	eventually(ctx, t, "start of tasks", func() error {
		if n := len(c.Fleet.Journal().Executions()); n < 60 {
			return fmt.Errorf("%d tasks have started", n)
		}
		return nil
	})
	lost := 0
	for _, h := range c.Hosts.Actual() {
		if h.Zone == "zone-a" && h.Role == "worker" {
			c.Fleet.Agent(h.ID).Kill()
			c.Hosts.Remove(h.ID)
			lost++
		}
	}
	status := submitAndWait(ctx, t, c, job)
	if lost == 0 || status.Tasks[work.Succeeded.String()] != 90 {
		t.Errorf("%d workers were killed, the job ended with tasks %v", lost, status.Tasks)
	}
	checkExecutions(t, c, func(work.JobID) bool { return true })
}
