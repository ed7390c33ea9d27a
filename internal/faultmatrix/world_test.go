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
	// patternsSeats is the limit of the team that asks for more than it has.
	patternsSeats = 24
	poll          = 5 * time.Millisecond
	// stepWait bounds the wait for a step, settleWait that for the end of all work.
	stepWait   = 40 * time.Second
	settleWait = 90 * time.Second
)

// place is where a step happens.
type place struct{ node, host string }

// world is a cluster with its callers and what they were told.
type world struct {
	t         *testing.T
	ctx       context.Context
	cluster   *devcluster.Cluster
	processes []*process
	random    *rand.Rand
	// callers have work to end; watchers watch until ctx ends.
	callers, watchers sync.WaitGroup

	mu       sync.Mutex
	jobs     map[string]*toldJob
	requests []toldRequest
	revision uint64
	seen     map[string]uint64
	faults   []string
	amount   int
	ids      int
}

// toldJob is a job and what its caller was told about the submission.
type toldJob struct {
	spec    gateway.JobSpec
	verdict verdict.Verdict
	// refused is true for a job that no one may run.
	refused bool
}

// toldRequest is a request and what its caller was told.
type toldRequest struct {
	id         string
	idempotent bool
	response   apiclient.Response
	verdict    verdict.Verdict
}

// newWorld starts a cluster with the example objects of a deployment.
func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	o := devcluster.DefaultOptions()
	// Racks of 4 give each of the 3 zones hosts.
	o.Nodes, o.RackSize, o.Upstream, o.Runners = 0, 4, upstream, 3
	c, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, ctx: ctx, cluster: c, random: rand.New(rand.NewPCG(seed, 0)),
		jobs: map[string]*toldJob{}, seen: map[string]uint64{}, amount: 200,
	}
	t.Cleanup(func() {
		cancel()
		w.callers.Wait()
		w.watchers.Wait()
		for _, p := range w.processes {
			p.stop(syscall.SIGKILL)
		}
		c.Close()
	})
	for i := range entryNodes {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), zone: o.Zones[i%len(o.Zones)], settings: settings.Default()}
		p.settings.Node = settings.Node{Name: p.name, Zone: p.zone, Region: "region-1"}
		p.settings.Listen.HTTP, p.settings.Listen.Peer, p.settings.Listen.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
		if p.logGate, err = newGate(c.LogURL()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.logGate.server.Close)
		p.settings.Platform.LogURL, p.settings.Platform.HostListURL = p.logGate.server.URL, c.HostListURL()
		p.settings.Platform.WorkerInterval = time.Second
		p.settings.Cluster.Nodes, p.settings.Cluster.ShardsPerZone = entryNodes, 1
		p.settings.Operator.Token, p.settings.Timing.DrainWait = operatorToken, 200*time.Millisecond
		w.processes = append(w.processes, p)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// prepare publishes the objects and waits for owners and slots.
func (w *world) prepare() {
	changes, err := devcluster.ExampleChanges("hawkrest")
	if err != nil {
		w.t.Fatal(err)
	}
	for i, c := range changes {
		if c.Kind == objects.KindLimit && c.Name == "patterns" {
			changes[i].Spec = limitSpec(patternsSeats)
		}
	}
	w.must("publication of the example", func() bool { return w.publish(w.ctx, 0, changes) == nil })
	w.must("owners of all shards", func() bool { return len(w.owners()) == 3 })
	w.watchRevisions()
	w.must("slots on every node", func() bool {
		for i := range w.processes {
			if r, err := w.client(i, ordersKey).Request(w.ctx, apiclient.Request{Upstream: upstream, Method: http.MethodPost, Path: "/work", ID: "first", Idempotent: true, Timeout: time.Second}); err != nil || r.Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func limitSpec(seats int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"amount":"%d seats"}`, seats))
}

// client returns a client whose first entry is a node.
func (w *world) client(first int, key string) *apiclient.Client {
	var entries []string
	for i := range w.processes {
		entries = append(entries, w.processes[(first+i)%len(w.processes)].url())
	}
	c, err := apiclient.New(apiclient.Options{Entries: entries, Key: key})
	if err != nil {
		w.t.Error(err)
	}
	return c
}

// until waits for a condition and reports whether it came true.
func (w *world) until(limit time.Duration, f func() bool) bool {
	deadline := time.Now().Add(limit)
	for !f() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(poll)
	}
	return true
}

// gaveUp is the panic of must; the group that it ends is broken.
type gaveUp string

// must waits for a condition that the test depends on.
func (w *world) must(what string, f func() bool) {
	if !w.until(settleWait, f) {
		panic(gaveUp(fmt.Sprintf("%s did not happen within %s", what, settleWait)))
	}
}

// fault records that an invariant was broken.
func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// job returns a batch job.
func job(id string, tasks int32, idempotent bool, command string) gateway.JobSpec {
	return gateway.JobSpec{
		ID: id, Team: "orders", Queue: "orders", Tasks: tasks, Idempotent: idempotent,
		Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: objects.Duration(5 * time.Second), Command: command,
	}
}

// submit submits a job until the caller knows more than that it did not run.
func (w *world) submit(first int, key string, spec gateway.JobSpec, t *trace, wait bool) {
	told := &toldJob{spec: spec, verdict: verdict.DidNotRun}
	w.mu.Lock()
	w.jobs[spec.ID] = told
	w.mu.Unlock()
	w.callers.Go(func() {
		for i := 0; w.ctx.Err() == nil; i++ {
			ctx, cancel := context.WithTimeout(t.context(w.ctx), 15*time.Second)
			_, err := w.client(first+i, key).Submit(ctx, spec, wait)
			cancel()
			v := verdict.DidRun
			if err != nil {
				v = verdict.Of(err)
			}
			w.mu.Lock()
			told.verdict = told.verdict.Merge(v)
			if v == verdict.DidRun {
				told.verdict = v
			}
			w.mu.Unlock()
			if v == verdict.DidRun {
				return
			}
			time.Sleep(20 * poll)
		}
	})
}

// request sends one request in the background and records its end.
func (w *world) request(first int, id string, idempotent bool) {
	w.callers.Go(func() {
		r, err := w.client(first, ordersKey).Request(w.ctx, apiclient.Request{
			Upstream: upstream, Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id, Idempotent: idempotent, Timeout: 3 * time.Second,
		})
		told := toldRequest{id: id, idempotent: idempotent, response: r, verdict: r.Verdict}
		if err != nil {
			told.verdict = verdict.Of(err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.requests = append(w.requests, told)
	})
}

// publish publishes changes once and remembers the accepted revision.
func (w *world) publish(ctx context.Context, first int, changes []objects.Change) error {
	client := w.client(first, operatorToken)
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	list, err := client.Objects(w.ctx, "", "")
	if err != nil {
		return err
	}
	return w.publishOn(ctx, client, list.Revision, changes)
}

// newID returns an id that no other work has.
func (w *world) newID(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%s-%d", prefix, w.ids)
}
