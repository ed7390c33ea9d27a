package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	operatorToken = "test-operator-token"
	ordersKey     = "orders-example-secret"
	// stepTimeout bounds each wait; it is far above what any step needs.
	stepTimeout = 2 * time.Minute
)

// testCluster is two entry processes. The stand-ins for their platform (log,
// host list, workers and runners) run in the test process.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	platform  *devcluster.Cluster
	processes []*process
}

// newTestCluster starts two entry processes, publishes the objects of an example
// and waits until every shard has an owner.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	o := devcluster.DefaultOptions()
	o.Nodes = 0
	platform, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 3*stepTimeout)
	t.Cleanup(cancel)
	c := &testCluster{t: t, ctx: ctx, platform: platform}
	for i, zone := range []string{"zone-a", "zone-b"} {
		p := newProcess(t, fmt.Sprintf("entry-%d", i+1), zone, platform.LogURL(), platform.HostListURL())
		p.start(t)
		c.processes = append(c.processes, p)
	}
	changes, err := devcluster.ExampleChanges("hawkrest")
	if err != nil {
		t.Fatal(err)
	}
	c.eventually("publication", func() error {
		_, err := c.client(c.processes[0], operatorToken).Publish(ctx, gateway.Publication{ID: "example", Author: "test", Changes: changes})
		return err
	})
	c.eventually("revision in force on both processes", func() error {
		status, err := c.client(c.processes[1], operatorToken).RevisionStatus(ctx, 0)
		if err == nil && (status.Current == 0 || status.InForce < 2) {
			err = fmt.Errorf("%+v", status)
		}
		return err
	})
	c.eventually("owners of both shards", func() error {
		if claims := c.claims(c.processes[0]); len(claims) < 2 {
			return fmt.Errorf("claims %v", claims)
		}
		return nil
	})
	return c
}

func (c *testCluster) client(p *process, key string) *apiclient.Client {
	client, err := apiclient.New(apiclient.Options{Entries: []string{p.address}, Key: key})
	if err != nil {
		c.t.Fatal(err)
	}
	return client
}

// claims returns the claims of shards as a process sees them.
func (c *testCluster) claims(p *process) []ledger.Claim {
	var dump struct{ Claims []ledger.Claim }
	state, err := c.client(p, operatorToken).Dump(c.ctx, "http://"+p.address)
	if err == nil {
		err = json.Unmarshal(state, &dump)
	}
	if err != nil {
		c.t.Logf("dump of %s: %v", p.name, err)
	}
	return dump.Claims
}

// owner returns a process that owns a shard, and the other process.
func (c *testCluster) owner() (owner, other *process) {
	if claims := c.claims(c.processes[0]); len(claims) > 0 && claims[0].Node == c.processes[1].name {
		return c.processes[1], c.processes[0]
	}
	return c.processes[0], c.processes[1]
}

// waitUntilOwnsAll waits until a process has claimed every shard.
func (c *testCluster) waitUntilOwnsAll(p *process) {
	c.t.Helper()
	c.eventually("takeover by "+p.name, func() error {
		claims := c.claims(p)
		for _, claim := range claims {
			if claim.Node != p.name || claim.Released {
				return fmt.Errorf("claims %+v", claims)
			}
		}
		if len(claims) < 2 {
			return fmt.Errorf("claims %+v", claims)
		}
		return nil
	})
}

// submit submits an idempotent job through a process.
func (c *testCluster) submit(p *process, id string, tasks int32, command string) {
	c.t.Helper()
	job := gateway.JobSpec{
		ID: id, Team: "orders", Queue: "orders", Tasks: tasks, Idempotent: true,
		Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: objects.Duration(10 * time.Second), Command: command,
	}
	c.eventually("submission of "+id, func() error {
		_, err := c.client(p, ordersKey).Submit(c.ctx, job, false)
		return err
	})
}

// waitForSuccess waits until every task of a job has succeeded.
func (c *testCluster) waitForSuccess(p *process, id string, tasks int32) {
	c.t.Helper()
	c.eventually("end of "+id, func() error {
		status, err := c.client(p, ordersKey).Status(c.ctx, id)
		if err == nil && (status.State != gateway.StateEnded || status.Tasks[work.Succeeded.String()] != tasks) {
			err = fmt.Errorf("state %s, tasks %v %s", status.State, status.Tasks, status.Reason)
		}
		return err
	})
}

// startCount returns the number of task starts that the workers recorded.
func (c *testCluster) startCount() int { return len(c.platform.Fleet.Journal().Executions()) }

// checkExecutions checks the executions that the workers recorded: no host is
// over its capacity, no task runs in two places at once, and no start is under a
// stale fencing token.
func (c *testCluster) checkExecutions() {
	c.t.Helper()
	executions := c.platform.Fleet.Journal().Executions()
	faults := append(standin.CheckHosts(executions), standin.CheckNoConcurrentAttempts(executions)...)
	// With one shard per availability zone, the zone identifies the shard.
	zones := map[string]string{}
	for _, h := range c.platform.Hosts.Actual() {
		zones[h.ID] = h.Zone
	}
	faults = append(faults, standin.CheckTokens(executions, func(host string) string { return zones[host] })...)
	for _, f := range faults {
		c.t.Error(f)
	}
}

// eventually repeats f until it succeeds or stepTimeout has passed.
func (c *testCluster) eventually(what string, f func() error) {
	c.t.Helper()
	end := time.Now().Add(stepTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// httpStatus returns the HTTP status of a path.
func (c *testCluster) httpStatus(p *process, path string) (int, error) {
	resp, err := http.Get("http://" + p.address + path)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
