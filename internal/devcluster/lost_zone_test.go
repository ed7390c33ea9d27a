package devcluster

import (
	"errors"
	"fmt"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Guards against a job that waits forever because a shard without usable hosts
// keeps all units of its limit for its queue, while the shards with usable hosts
// get none.
func TestUnitsLeaveLostZone(t *testing.T) {
	o := DefaultOptions()
	o.Workers = o.RackSize
	c, ctx := startCluster(t, o, "hawkrest")
	client, err := c.Client("orders-example-secret")
	if err != nil {
		t.Fatal(err)
	}
	// More tasks than the queues of the other two shards may take by moves, so
	// that the lost shard keeps a queue of its own.
	const tasks, units = 800, 160
	eventually(ctx, t, "submission", func() error {
		_, err := client.Submit(ctx, batchJob("kept", tasks, true, "run=1s"), false)
		return err
	})
	// The only zone draws all units. In a larger cluster a zone does so if its
	// owner reviews its units before it knows of the demand of the other zones.
	eventually(ctx, t, "first starts with all units in one shard", func() error {
		if n := unitsDrawn(t, c, "zone-a/0", "orders"); n < units {
			return fmt.Errorf("the shard has %d units", n)
		}
		if running(c) == 0 {
			return errors.New("nothing runs")
		}
		return nil
	})
	for i := range o.RackSize {
		c.Fleet.Agent(fmt.Sprintf("worker-%03d", i)).Kill()
	}
	for i := o.RackSize; i < 3*o.RackSize; i++ {
		c.addWorker(i)
	}
	eventually(ctx, t, "end of the job", func() error {
		status, err := client.Status(ctx, "kept")
		if err == nil && (status.State != gateway.StateEnded || status.Tasks[work.Succeeded.String()] != tasks) {
			err = fmt.Errorf("state %s, tasks %v", status.State, status.Tasks)
		}
		return err
	})
	checkExecutions(t, c, func(work.JobID) bool { return true })
}

// unitsDrawn returns the units of a limit that a shard has drawn from the pool,
// less those that it has returned.
func unitsDrawn(t *testing.T, c *Cluster, shard, limit string) (units int64) {
	t.Helper()
	for _, record := range loggedRecords(t, c) {
		switch transfer := record.GetTransfer(); {
		case transfer.GetLimit() != limit:
		case transfer.GetTo() == shard:
			units += transfer.Units
		case transfer.GetFrom() == shard:
			units -= transfer.Units
		}
	}
	return units
}
