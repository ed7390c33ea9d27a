package devcluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// spanningGang returns a gang of 40 tasks of 4 cores. A zone of four workers of
// 16 cores holds 16 of them, so the gang needs three shards.
func spanningGang(id string) gateway.JobSpec {
	spec := batchJob(id, 40, true, "run=5s")
	spec.Kind = work.Gang
	spec.Size = resource.Vector{MilliCPU: 4000, MemoryMiB: 8192}
	spec.Lease = objects.Duration(30 * time.Second)
	return spec
}

// Guards against gangs larger than one shard that are refused, that start only
// in part, or that block each other from starting.
func TestGangsLargerThanAShardRunCompletely(t *testing.T) {
	o := DefaultOptions()
	o.RackSize = 4
	c, ctx := startCluster(t, o, "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	ids := []string{"wide-1", "wide-2"}
	for _, id := range ids {
		eventually(ctx, t, "submission of "+id, func() error {
			_, err := client.Submit(ctx, spanningGang(id), false)
			return err
		})
	}
	for _, id := range ids {
		eventually(ctx, t, "end of "+id, func() error {
			status, err := client.Status(ctx, id)
			if err == nil && status.Tasks[work.Succeeded.String()] != 40 {
				err = fmt.Errorf("state %s: %v %s", status.State, status.Tasks, status.Reason)
			}
			return err
		})
	}
	checkExecutions(t, c, func(work.JobID) bool { return true })
	checkTasksOverlap(t, c, ids)
}

// checkTasksOverlap checks that all tasks of each gang ran at the same time.
func checkTasksOverlap(t *testing.T, c *Cluster, ids []string) {
	t.Helper()
	for _, id := range ids {
		var lastStart, firstEnd time.Duration
		hosts := map[string]bool{}
		for _, e := range c.Fleet.Journal().Executions() {
			if string(e.Attempt.Task.Job) != id || e.Outcome != work.Succeeded {
				continue
			}
			hosts[e.Host] = true
			lastStart = max(lastStart, e.Start)
			if firstEnd == 0 || e.End < firstEnd {
				firstEnd = e.End
			}
		}
		if lastStart >= firstEnd {
			t.Errorf("%s: a task ended at %s, before the last task started at %s", id, firstEnd, lastStart)
		}
		if len(hosts) < 10 {
			t.Errorf("%s ran on %d hosts, but 40 tasks need at least 10", id, len(hosts))
		}
	}
}
