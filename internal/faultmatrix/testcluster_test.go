package faultmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/settings"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	entryNodes    = 4
	operatorToken = "dev-operator-token"
	ordersKey     = "orders-example-secret"
	patternsKey   = "patterns-example-secret"
	upstream      = "ledger"
	// patternsSeats is the limit of the team patterns, whose jobs ask for more than
	// the limit.
	patternsSeats = 24
	pollInterval  = 5 * time.Millisecond
	// stepTimeout limits the wait for a step, completionTimeout the wait for the end
	// of all work and for the conditions that the test depends on.
	stepTimeout       = 40 * time.Second
	completionTimeout = 90 * time.Second
	requestTimeout    = 3 * time.Second
)

// location is the entry node and the worker at which a step happens; either may
// be empty.
type location struct{ node, host string }

// testCluster is a cluster, the work that callers sent to it, the responses that
// they received, and the violations found so far.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	cluster   *devcluster.Cluster
	processes []*process
	random    *rand.Rand
	// callers counts calls that end by themselves, watchers goroutines that run
	// until ctx ends.
	callers, watchers sync.WaitGroup

	mu           sync.Mutex
	jobs         map[string]*submittedJob
	requests     []sentRequest
	revision     uint64
	revisionSeen map[string]uint64
	violations   []string
	limitAmount  int
	lastID       int
}

// submittedJob is a job and the verdict on its submission that the caller received.
type submittedJob struct {
	spec    gateway.JobSpec
	verdict verdict.Verdict
	// refused is true for a job that must never run.
	refused bool
}

// sentRequest is a request with the response and the verdict that its caller
// received.
type sentRequest struct {
	id         string
	idempotent bool
	response   apiclient.Response
	verdict    verdict.Verdict
}

// newTestCluster starts the stand-ins of the platform and the entry nodes.
func newTestCluster(t *testing.T, seed uint64) *testCluster {
	t.Helper()
	o := devcluster.DefaultOptions()
	// With racks of 4 hosts, each of the 3 zones gets a rack.
	o.Nodes, o.RackSize, o.Upstream, o.Runners = 0, 4, upstream, 3
	c, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tc := &testCluster{
		t: t, ctx: ctx, cluster: c, random: rand.New(rand.NewPCG(seed, 0)),
		jobs: map[string]*submittedJob{}, revisionSeen: map[string]uint64{}, limitAmount: 200,
	}
	t.Cleanup(func() {
		cancel()
		tc.callers.Wait()
		tc.watchers.Wait()
		for _, p := range tc.processes {
			p.stop(syscall.SIGKILL)
		}
		c.Close()
	})
	for i := range entryNodes {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), zone: o.Zones[i%len(o.Zones)], settings: settings.Default()}
		p.settings.Node = settings.Node{Name: p.name, Zone: p.zone, Region: "region-1"}
		p.settings.Listen.HTTP, p.settings.Listen.Peer, p.settings.Listen.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		if p.logProxy, err = newLogProxy(c.LogURL()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.logProxy.server.Close)
		p.settings.Platform.LogURL, p.settings.Platform.HostListURL = p.logProxy.server.URL, c.HostListURL()
		p.settings.Platform.WorkerInterval = time.Second
		p.settings.Cluster.Nodes, p.settings.Cluster.ShardsPerZone = entryNodes, 1
		p.settings.Operator.Token, p.settings.Timing.DrainWait = operatorToken, 200*time.Millisecond
		tc.processes = append(tc.processes, p)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	return tc
}

// prepare publishes the example objects and waits until every shard has an owner
// and every node can route a request to a slot.
func (tc *testCluster) prepare() {
	changes, err := devcluster.ExampleChanges("hawkrest")
	if err != nil {
		tc.t.Fatal(err)
	}
	for i, c := range changes {
		if c.Kind == objects.KindLimit && c.Name == "patterns" {
			changes[i].Spec = limitSpec(patternsSeats)
		}
	}
	tc.mustReach("publication of the example", func() bool { return tc.publish(tc.ctx, 0, changes) == nil })
	tc.mustReach("owners of all shards", func() bool { return len(tc.owners()) == 3 })
	tc.watchRevisions()
	tc.mustReach("slots on every node", func() bool {
		for i := range tc.processes {
			if r, err := tc.client(i, ordersKey).Request(tc.ctx, apiclient.Request{Upstream: upstream, Method: http.MethodPost, Path: "/work", ID: "first", Idempotent: true, Timeout: time.Second}); err != nil || r.Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func limitSpec(seats int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"amount":"%d seats"}`, seats))
}

// client returns a client of all entry nodes that tries node number first before
// the others.
func (tc *testCluster) client(first int, key string) *apiclient.Client {
	var entries []string
	for i := range tc.processes {
		entries = append(entries, tc.processes[(first+i)%len(tc.processes)].httpAddress())
	}
	c, err := apiclient.New(apiclient.Options{Entries: entries, Key: key})
	if err != nil {
		tc.t.Error(err)
	}
	return c
}

// waitFor polls a condition for up to limit and reports whether it became true.
func (tc *testCluster) waitFor(limit time.Duration, f func() bool) bool {
	deadline := time.Now().Add(limit)
	for !f() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// groupAborted is the value with which mustReach panics. All cells of the group
// then count as violated.
type groupAborted string

// mustReach waits for a condition that the rest of the group depends on, and
// panics if it is not met in time.
func (tc *testCluster) mustReach(what string, f func() bool) {
	if !tc.waitFor(completionTimeout, f) {
		panic(groupAborted(fmt.Sprintf("%s did not happen within %s", what, completionTimeout)))
	}
}

// recordViolation records that an invariant was violated.
func (tc *testCluster) recordViolation(format string, args ...any) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.violations = append(tc.violations, fmt.Sprintf(format, args...))
}

// job returns the specification of a batch job of the team orders.
func job(id string, tasks int32, idempotent bool, command string) gateway.JobSpec {
	return gateway.JobSpec{
		ID: id, Team: "orders", Queue: "orders", Tasks: tasks, Idempotent: idempotent,
		Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: objects.Duration(5 * time.Second), Command: command,
	}
}

// submit submits a job in the background, with retries until the verdict is
// verdict.DidRun. Each attempt uses the next entry node.
func (tc *testCluster) submit(first int, key string, spec gateway.JobSpec, t *trace, wait bool) {
	submitted := &submittedJob{spec: spec, verdict: verdict.DidNotRun}
	tc.mu.Lock()
	tc.jobs[spec.ID] = submitted
	tc.mu.Unlock()
	tc.callers.Go(func() {
		for i := 0; tc.ctx.Err() == nil; i++ {
			ctx, cancel := context.WithTimeout(t.context(tc.ctx), 15*time.Second)
			_, err := tc.client(first+i, key).Submit(ctx, spec, wait)
			cancel()
			v := verdict.DidRun
			if err != nil {
				v = verdict.Of(err)
			}
			tc.mu.Lock()
			submitted.verdict = submitted.verdict.Merge(v)
			if v == verdict.DidRun {
				submitted.verdict = v
			}
			tc.mu.Unlock()
			if v == verdict.DidRun {
				return
			}
			time.Sleep(20 * pollInterval)
		}
	})
}

// request sends one request with a deadline of requestTimeout in the background
// and records its result.
func (tc *testCluster) request(first int, id string, idempotent bool) {
	tc.requestWithin(requestTimeout, first, id, idempotent)
}

// requestWithin is request with a given deadline.
func (tc *testCluster) requestWithin(timeout time.Duration, first int, id string, idempotent bool) {
	tc.callers.Go(func() {
		r, err := tc.client(first, ordersKey).Request(tc.ctx, apiclient.Request{
			Upstream: upstream, Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id, Idempotent: idempotent, Timeout: timeout,
		})
		sent := sentRequest{id: id, idempotent: idempotent, response: r, verdict: r.Verdict}
		if err != nil {
			sent.verdict = verdict.Of(err)
		}
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.requests = append(tc.requests, sent)
	})
}

// publish publishes changes once, based on the current revision, and records the
// accepted revision.
func (tc *testCluster) publish(ctx context.Context, first int, changes []objects.Change) error {
	client := tc.client(first, operatorToken)
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	list, err := client.Objects(tc.ctx, "", "")
	if err != nil {
		return err
	}
	return tc.publishOn(ctx, client, list.Revision, changes)
}

// newID returns an ID that is unique in this cluster.
func (tc *testCluster) newID(prefix string) string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.lastID++
	return fmt.Sprintf("%s-%d", prefix, tc.lastID)
}
