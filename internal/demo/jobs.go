package demo

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// taskLease is the lease of the demo's tasks. It is short, so that lost tasks are
// replaced within the run.
const taskLease = 10 * time.Second

// demoJob is a job of the demo.
type demoJob struct {
	spec gateway.JobSpec
	// service is true for a job that runs until it is cancelled.
	service bool
}

// teamKey returns the secret of the key of a team in the example deployments.
func teamKey(team string) string { return team + "-example-secret" }

// jobs returns work of every kind for several teams of the grantveji example.
func jobs() []demoJob {
	size := func(cpu, memory int64) resource.Vector { return resource.Vector{MilliCPU: cpu, MemoryMiB: memory} }
	spec := func(id, team, queue string, tasks int32, s resource.Vector, command string) gateway.JobSpec {
		return gateway.JobSpec{
			ID: id, Team: team, Queue: queue, Tasks: tasks, Size: s, Idempotent: true,
			Lease: objects.Duration(taskLease), Command: command,
		}
	}
	rescan := spec("weekly-rescan", "rescans", "weekly", 300, size(2000, 8192), "run=400ms")
	rescan.Template = "weekly-rescan"
	service := spec("matching-service", "digest", "weekly", 3, size(1000, 2048), "")
	service.Kind = work.Service
	gang := spec("digest-build", "digest", "weekly", 8, size(4000, 16384), "run=1s")
	gang.Kind = work.Gang
	once := spec("alert-mails", "archive", "bulk", 60, size(1000, 1024), "run=100ms")
	once.Idempotent = false
	urgent := spec("profile-preview", "previews", "interactive", 20, size(1000, 2048), "run=50ms")
	urgent.Class = work.Urgent
	flaky := spec("crawl", "research", "bulk", 10, size(1000, 1024), "run=50ms&fail_first=1")
	long := spec("index-build", "labs", "bulk", 10, size(1000, 2048), "run=6s")
	return []demoJob{
		{spec: service, service: true}, {spec: rescan}, {spec: gang}, {spec: once}, {spec: urgent}, {spec: flaky}, {spec: long},
	}
}
