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
	// limit bounds each wait; it is far above what any step needs.
	limit = 2 * time.Minute
)

// scene is two entry processes on stand-ins that the test serves.
type scene struct {
	t         *testing.T
	ctx       context.Context
	platform  *devcluster.Cluster
	processes []*process
}

// newScene starts two processes, publishes the objects of an example and waits
// until every shard has an owner.
func newScene(t *testing.T) *scene {
	t.Helper()
	o := devcluster.DefaultOptions()
	o.Nodes = 0
	platform, err := devcluster.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 3*limit)
	t.Cleanup(cancel)
	s := &scene{t: t, ctx: ctx, platform: platform}
	for i, zone := range []string{"zone-a", "zone-b"} {
		p := newProcess(t, fmt.Sprintf("entry-%d", i+1), zone, platform.LogURL(), platform.HostListURL())
		p.start(t)
		s.processes = append(s.processes, p)
	}
	changes, err := devcluster.ExampleChanges("hawkrest")
	if err != nil {
		t.Fatal(err)
	}
	s.eventually("publication", func() error {
		_, err := s.client(s.processes[0], operatorToken).Publish(ctx, gateway.Publication{ID: "example", Author: "test", Changes: changes})
		return err
	})
	s.eventually("revision on both", func() error {
		status, err := s.client(s.processes[1], operatorToken).RevisionStatus(ctx, 0)
		if err == nil && (status.Current == 0 || status.InForce < 2) {
			err = fmt.Errorf("%+v", status)
		}
		return err
	})
	s.eventually("owners of both shards", func() error {
		if claims := s.claims(s.processes[0]); len(claims) < 2 {
			return fmt.Errorf("claims %v", claims)
		}
		return nil
	})
	return s
}

func (s *scene) client(p *process, key string) *apiclient.Client {
	c, err := apiclient.New(apiclient.Options{Entries: []string{p.address}, Key: key})
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// claims returns the claims as a process sees them.
func (s *scene) claims(p *process) []ledger.Claim {
	var dump struct{ Claims []ledger.Claim }
	state, err := s.client(p, operatorToken).Dump(s.ctx, "http://"+p.address)
	if err == nil {
		err = json.Unmarshal(state, &dump)
	}
	if err != nil {
		s.t.Logf("dump of %s: %v", p.name, err)
	}
	return dump.Claims
}

// owner returns the process that owns a shard, and the other one.
func (s *scene) owner() (owner, other *process) {
	if claims := s.claims(s.processes[0]); len(claims) > 0 && claims[0].Node == s.processes[1].name {
		return s.processes[1], s.processes[0]
	}
	return s.processes[0], s.processes[1]
}

// ownsAll waits until a process has claimed every shard.
func (s *scene) ownsAll(p *process) {
	s.t.Helper()
	s.eventually("takeover by "+p.name, func() error {
		claims := s.claims(p)
		for _, c := range claims {
			if c.Node != p.name || c.Released {
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
func (s *scene) submit(p *process, id string, tasks int32, command string) {
	s.t.Helper()
	job := gateway.JobSpec{
		ID: id, Team: "orders", Queue: "orders", Tasks: tasks, Idempotent: true,
		Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 2048}, Lease: objects.Duration(10 * time.Second), Command: command,
	}
	s.eventually("submission of "+id, func() error {
		_, err := s.client(p, ordersKey).Submit(s.ctx, job, false)
		return err
	})
}

// ended waits until every task of a job has succeeded.
func (s *scene) ended(p *process, id string, tasks int32) {
	s.t.Helper()
	s.eventually("end of "+id, func() error {
		status, err := s.client(p, ordersKey).Status(s.ctx, id)
		if err == nil && (status.State != gateway.StateEnded || status.Tasks[work.Succeeded.String()] != tasks) {
			err = fmt.Errorf("state %s, tasks %v %s", status.State, status.Tasks, status.Reason)
		}
		return err
	})
}

// starts returns the number of starts that the workers recorded.
func (s *scene) starts() int { return len(s.platform.Fleet.Journal().Executions()) }

// check compares the workers' own record with the promises.
func (s *scene) check() {
	s.t.Helper()
	executions := s.platform.Fleet.Journal().Executions()
	faults := append(standin.CheckHosts(executions), standin.CheckOnePlace(executions)...)
	// Each availability zone is one shard.
	zones := map[string]string{}
	for _, h := range s.platform.Hosts.Actual() {
		zones[h.ID] = h.Zone
	}
	faults = append(faults, standin.CheckTokens(executions, func(host string) string { return zones[host] })...)
	for _, f := range faults {
		s.t.Error(f)
	}
}

// eventually repeats f until it succeeds or the limit has passed.
func (s *scene) eventually(what string, f func() error) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// status returns the HTTP status of a path, or the error.
func (s *scene) status(p *process, path string) (int, error) {
	resp, err := http.Get("http://" + p.address + path)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
