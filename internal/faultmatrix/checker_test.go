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

// bareWorld is a platform without entry nodes.
func bareWorld(t *testing.T) *world {
	t.Helper()
	o := devcluster.DefaultOptions()
	o.Nodes = 0
	c, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	w := &world{t: t, ctx: t.Context(), cluster: c, jobs: map[string]*toldJob{}, seen: map[string]uint64{}}
	w.jobs["once"] = &toldJob{spec: job("once", 100, false, "")}
	w.jobs["job"] = &toldJob{spec: job("job", 100, true, "")}
	w.jobs["wide"] = &toldJob{spec: patternsJob("wide")}
	return w
}

func patternsJob(id string) gateway.JobSpec {
	spec := job(id, 100, true, "")
	spec.Team = "patterns"
	return spec
}

// command sends a start of one task to a worker under a token, as an owner does.
func (w *world) command(host string, token uint64, id string, index int32) worker.RefusalCode {
	a := w.cluster.Fleet.Agent(host)
	hello, err := a.Exchange(w.ctx, worker.ExchangeRequest{Token: token})
	if err != nil || hello.Refused != "" {
		return hello.Refused
	}
	attempt := work.AttemptID{Task: work.TaskID{Job: work.JobID(id), Index: index}, Attempt: 1}
	answer, err := a.Exchange(w.ctx, worker.ExchangeRequest{
		Token: token, Incarnation: hello.Incarnation, Stamp: hello.Stamp,
		Starts: []worker.Start{{Attempt: attempt, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: time.Minute}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return answer.Starts[0].Refused
}

// Guards against a checker that misses what it is there for: each deliberate
// fault must be caught by the named check, and by no check without the fault.
func TestFaultMatrixChecker(t *testing.T) {
	for _, deliberate := range []struct {
		name, caughtBy string
		commit         func(w *world)
	}{
		{"nothing is wrong", "", func(w *world) { w.command("worker-000", 1, "job", 0); w.command("worker-001", 1, "once", 0) }},
		{"fencing holds", "", func(w *world) { fence(w, standin.Faults{}) }},
		{"fencing is skipped", "I2", func(w *world) { fence(w, standin.Faults{IgnoreTokens: true}) }},
		{"a lease's allowance is ignored", "I2", func(w *world) { w.command("worker-000", 1, "job", 0); w.command("worker-001", 1, "job", 0) }},
		{"a non-idempotent task is started again", "I7", func(w *world) {
			w.command("worker-000", 1, "once", 0)
			w.cluster.Fleet.Agent("worker-000").Kill()
			w.command("worker-001", 1, "once", 0)
		}},
		{"a non-idempotent request is sent again", "I7", func(w *world) { sendTo(w, 0); sendTo(w, 1) }},
		{"a limit is counted late", "I4", func(w *world) {
			for i := range int32(patternsSeats/2 + 1) {
				w.command(w.host(i), 1, "wide", i)
			}
		}},
		{"work without a key", "I3", func(w *world) { w.command("worker-000", 1, "unknown", 0) }},
		{"a revision is reverted", "I10", func(w *world) { w.noteRevision("entry-1", 7); w.noteRevision("entry-1", 6) }},
	} {
		t.Run(deliberate.name, func(t *testing.T) {
			w := bareWorld(t)
			deliberate.commit(w)
			found := append(append(w.checkExecutions(), w.checkCallers()...), w.faults...)
			if got := invariantOf(strings.Join(found, "; ")); got != deliberate.caughtBy {
				t.Fatalf("caught by %q, want %q: %v", got, deliberate.caughtBy, found)
			}
			t.Logf("caught by %q: %v", deliberate.caughtBy, found)
		})
	}
}

func (w *world) host(i int32) string { return w.cluster.Hosts.Actual()[4+i%8].ID }

// fence lets a former owner start a task that its successor has started elsewhere.
func fence(w *world, f standin.Faults) {
	w.cluster.Fleet.Agent("worker-000").SetFaults(f)
	w.command("worker-000", 5, "job", 9)
	w.command("worker-001", 5, "job", 0)
	w.command("worker-000", 4, "job", 0)
}

// sendTo sends a non-idempotent request straight to a runner.
func sendTo(w *world, i int) {
	ctx, cancel := context.WithTimeout(w.ctx, stepWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.cluster.Runners[i].Address()+"/work", http.NoBody)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set(runner.HeaderRequestID, "request")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
	if i == 0 {
		w.requests = append(w.requests, toldRequest{id: "request"})
	}
}
