package faultmatrix

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// newPlatform starts the stand-ins of the platform without entry nodes.
func newPlatform(t *testing.T) *testCluster {
	t.Helper()
	o := devcluster.DefaultOptions()
	o.Nodes = 0
	c, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	tc := &testCluster{t: t, ctx: t.Context(), cluster: c, jobs: map[string]*submittedJob{}, revisionSeen: map[string]uint64{}}
	tc.jobs["once"] = &submittedJob{spec: job("once", 100, false, "")}
	tc.jobs["job"] = &submittedJob{spec: job("job", 100, true, "")}
	tc.jobs["wide"] = &submittedJob{spec: patternsJob("wide")}
	return tc
}

func patternsJob(id string) gateway.JobSpec {
	spec := job(id, 100, true, "")
	spec.Team = "patterns"
	return spec
}

// start sends a start request for one task to a worker with a fencing token,
// as a shard owner does. It returns the code of the refusal, if any.
func (tc *testCluster) start(host string, token uint64, id string, index int32) worker.RefusalCode {
	a := tc.cluster.Fleet.Agent(host)
	hello, err := a.Exchange(tc.ctx, worker.ExchangeRequest{Token: token})
	if err != nil || hello.Refused != "" {
		return hello.Refused
	}
	attempt := work.AttemptID{Task: work.TaskID{Job: work.JobID(id), Index: index}, Attempt: 1}
	answer, err := a.Exchange(tc.ctx, worker.ExchangeRequest{
		Token: token, Incarnation: hello.Incarnation, Stamp: hello.Stamp,
		Starts: []worker.Start{{Attempt: attempt, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: time.Minute}},
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	return answer.Starts[0].Refused
}

// Guards against checks that do not detect violations or that report false ones:
// each injected fault must be reported under the named invariant, and a run
// without a fault under none.
func TestFaultMatrixChecker(t *testing.T) {
	for _, deliberate := range []struct {
		name, caughtBy string
		inject         func(tc *testCluster)
	}{
		{"nothing is wrong", "", func(tc *testCluster) { tc.start("worker-000", 1, "job", 0); tc.start("worker-001", 1, "once", 0) }},
		{"fencing holds", "", func(tc *testCluster) { startWithOldToken(tc, standin.Faults{}) }},
		{"fencing is skipped", "I2", func(tc *testCluster) { startWithOldToken(tc, standin.Faults{IgnoreTokens: true}) }},
		{"a lease's allowance is ignored", "I2", func(tc *testCluster) { tc.start("worker-000", 1, "job", 0); tc.start("worker-001", 1, "job", 0) }},
		{"a non-idempotent task is started again", "I7", func(tc *testCluster) {
			tc.start("worker-000", 1, "once", 0)
			tc.cluster.Fleet.Agent("worker-000").Kill()
			tc.start("worker-001", 1, "once", 0)
		}},
		{"a non-idempotent request is sent again", "I7", func(tc *testCluster) { sendTo(tc, 0); sendTo(tc, 1) }},
		{"a limit is counted late", "I4", func(tc *testCluster) {
			for i := range int32(patternsSeats/2 + 1) {
				tc.start(tc.ordinaryHost(i), 1, "wide", i)
			}
		}},
		{"work without a key", "I3", func(tc *testCluster) { tc.start("worker-000", 1, "unknown", 0) }},
		{"a revision is reverted", "I10", func(tc *testCluster) { tc.checkRevision("entry-1", 7); tc.checkRevision("entry-1", 6) }},
	} {
		t.Run(deliberate.name, func(t *testing.T) {
			tc := newPlatform(t)
			deliberate.inject(tc)
			found := append(append(tc.checkExecutions(), tc.checkCallers()...), tc.violations...)
			if got := invariantOf(strings.Join(found, "; ")); got != deliberate.caughtBy {
				t.Fatalf("caught by %q, want %q: %v", got, deliberate.caughtBy, found)
			}
			t.Logf("caught by %q: %v", deliberate.caughtBy, found)
		})
	}
}

func (tc *testCluster) ordinaryHost(i int32) string { return tc.cluster.Hosts.Actual()[4+i%8].ID }

// startWithOldToken makes a previous owner start a task that its successor has
// already started on another worker. The faults f apply to the first worker.
func startWithOldToken(tc *testCluster, f standin.Faults) {
	tc.cluster.Fleet.Agent("worker-000").SetFaults(f)
	tc.start("worker-000", 5, "job", 9)
	tc.start("worker-001", 5, "job", 0)
	tc.start("worker-000", 4, "job", 0)
}

// sendTo sends a non-idempotent request directly to runner i, without an entry node.
func sendTo(tc *testCluster, i int) {
	ctx, cancel := context.WithTimeout(tc.ctx, stepTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tc.cluster.Runners[i].Address()+"/work", http.NoBody)
	if err != nil {
		tc.t.Fatal(err)
	}
	req.Header.Set(runner.HeaderRequestID, "request")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tc.t.Fatal(err)
	}
	resp.Body.Close()
	if i == 0 {
		tc.requests = append(tc.requests, sentRequest{id: "request"})
	}
}
