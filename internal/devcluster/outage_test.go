package devcluster

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Guards against three failures during an outage of the log: accepted idempotent
// work stops, new work is accepted, or the backlog is lost (section 4 of the
// design).
func TestLogOutage(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	const tasks = 2400
	eventually(ctx, t, "submission", func() error {
		_, err := client.Submit(ctx, batchJob("long", tasks, true, "run=2s"), false)
		return err
	})
	eventually(ctx, t, "first starts", func() error {
		if running(c) == 0 {
			return errors.New("nothing runs")
		}
		return nil
	})
	c.Log.SetFaults(logsvc.Faults{Unavailable: true})
	outageStart := c.Fleet.Journal().Now()
	refused, attempts := "", 0
	eventually(ctx, t, "refusal of a new job", func() error {
		attempts++
		id := fmt.Sprintf("new-%d", attempts)
		_, err := client.Submit(ctx, batchJob(id, 1, true, "run=1ms"), false)
		var failed *verdict.Error
		if !errors.As(err, &failed) {
			t.Fatalf("job %s during the outage: %v", id, err)
		}
		if failed.Verdict != verdict.DidNotRun || failed.RetryAfterMillis == 0 {
			return err
		}
		refused = id
		return nil
	})
	if _, err := c.Publish(ctx, limitChange("150 benches")); err == nil {
		t.Error("a publication was accepted during the outage")
	}
	eventually(ctx, t, "starts after the authority of the last renewal has expired", func() error {
		for _, x := range c.Fleet.Journal().Executions() {
			if x.Start > outageStart+8*time.Second {
				return nil
			}
		}
		return errors.New("no task has started more than 8 s after the outage began")
	})
	c.Log.SetFaults(logsvc.Faults{})
	eventually(ctx, t, "end of the backlog", func() error {
		status, err := client.Status(ctx, "long")
		if err == nil && (status.State != gateway.StateEnded || status.Tasks[work.Succeeded.String()] != tasks) {
			err = fmt.Errorf("state %s, tasks %v", status.State, status.Tasks)
		}
		return err
	})
	for _, x := range c.Fleet.Journal().Executions() {
		if string(x.Attempt.Task.Job) == refused {
			t.Errorf("%s ran, but its refusal said that it did not run", refused)
		}
	}
	checkExecutions(t, c, func(work.JobID) bool { return true })
}

// Guards against tasks that are lost or run twice when they move to another shard.
func TestMovesBetweenShards(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	const tasks = 1500
	eventually(ctx, t, "submission", func() error {
		_, err := client.Submit(ctx, batchJob("moved", tasks, true, "run=1s"), false)
		return err
	})
	eventually(ctx, t, "first starts", func() error {
		if running(c) == 0 {
			return errors.New("nothing runs")
		}
		return nil
	})
	// One of six workers of a zone remains, so its queued tasks have to move to
	// other shards.
	for i := range 5 {
		c.Fleet.Agent(fmt.Sprintf("worker-%03d", i)).Kill()
	}
	eventually(ctx, t, "end of the job", func() error {
		status, err := client.Status(ctx, "moved")
		if err == nil && (status.State != gateway.StateEnded || status.Tasks[work.Succeeded.String()] != tasks) {
			err = fmt.Errorf("state %s, tasks %v", status.State, status.Tasks)
		}
		return err
	})
	moves := 0
	for _, record := range loggedRecords(t, c) {
		if record.GetMove() != nil {
			moves++
		}
	}
	if moves == 0 {
		t.Error("no task moved to another shard, so the test proves nothing")
	}
	checkExecutions(t, c, func(work.JobID) bool { return true })
}
