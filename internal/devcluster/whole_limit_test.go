package devcluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Guards against a task that needs more units of its limit than a shard holds and
// moves from shard to shard faster than units are lent, so that no shard gets
// enough of them.
func TestTaskOfWholeLimitEnds(t *testing.T) {
	c, ctx := startCluster(t, DefaultOptions(), "hawkrest")
	// A node that has not applied the publication of the example yet refuses the change.
	eventually(ctx, t, "publication of the limit", func() error {
		_, err := c.Publish(ctx, limitChange("8 benches"))
		return err
	})
	for i := range 4 {
		began := time.Now()
		job := batchJob(fmt.Sprintf("whole-%d", i), 1, true, "run=10ms")
		job.Size = resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}
		if status := submitAndWait(ctx, t, c, job); status.Tasks[work.Succeeded.String()] != 1 {
			t.Errorf("%s ended with tasks %v", job.ID, status.Tasks)
		}
		t.Logf("%s ended after %s, %d moves", job.ID, time.Since(began).Round(time.Millisecond), movesOf(t, c, job.ID))
	}
}

// movesOf returns the number of records in the log that move tasks of a job.
func movesOf(t *testing.T, c *Cluster, job string) (moves int) {
	t.Helper()
	for _, record := range loggedRecords(t, c) {
		if record.GetMove().GetJob() == job {
			moves++
		}
	}
	return moves
}
