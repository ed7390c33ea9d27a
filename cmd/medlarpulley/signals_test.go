package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
)

// Guards against a planned stop that aborts requests in flight, that closes the
// listener before readiness tells the load balancer, that does not hand over its
// shards, or that go-zero's forced exit cuts short (I9).
func TestSIGTERMDrains(t *testing.T) {
	c := newTestCluster(t)
	stopped, other := c.owner()
	c.submit(stopped, "before", 200, "run=300ms")
	request := func(id string) apiclient.Request {
		return apiclient.Request{
			Upstream: "matching", Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id, Idempotent: id[0] == 'i', Timeout: 25 * time.Second,
		}
	}
	c.eventually("first request", func() error {
		_, err := c.client(stopped, ordersKey).Request(c.ctx, request("i-warm-up"))
		return err
	})
	for _, r := range c.platform.Runners {
		for len(r.StartedRequests()) > 0 {
			<-r.StartedRequests()
		}
		r.Hold()
	}
	var wg sync.WaitGroup
	const count = 6
	for i := range count {
		id := fmt.Sprintf("%c-%d", "in"[i%2], i)
		wg.Go(func() {
			resp, err := c.client(stopped, ordersKey).Request(c.ctx, request(id))
			if err != nil || resp.Status != http.StatusOK {
				t.Errorf("request %s: status %d, %v", id, resp.Status, err)
			}
		})
	}
	c.eventually("arrival of the requests", func() error {
		arrived := 0
		for _, r := range c.platform.Runners {
			arrived += len(r.StartedRequests())
		}
		if arrived < count {
			return fmt.Errorf("%d of %d requests have arrived", arrived, count)
		}
		return nil
	})
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c.eventually("the process reports not ready while it still serves", func() error {
		status, err := c.httpStatus(stopped, "/readyz")
		if err != nil {
			t.Fatalf("the listener closed before the process reported not ready: %v", err)
		}
		if status != http.StatusServiceUnavailable {
			return fmt.Errorf("readiness status is %d", status)
		}
		return nil
	})
	if status, err := c.httpStatus(stopped, "/healthz"); err != nil || status != http.StatusOK {
		t.Errorf("health while not ready: status %d, %v", status, err)
	}
	for _, r := range c.platform.Runners {
		r.Release()
	}
	wg.Wait()
	if code := stopped.waitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	c.waitUntilOwnsAll(other)
	c.submit(other, "after", 50, "run=50ms")
	c.waitForSuccess(other, "before", 200)
	c.waitForSuccess(other, "after", 50)
	c.checkExecutions()
}

// Guards against a process that ignores SIGTERM while it still tries to join,
// which it cannot do because the log is unreachable from the start.
func TestSIGTERMBeforeJoin(t *testing.T) {
	p := newProcess(t, "entry-1", "zone-a", "http://127.0.0.1:1", "http://127.0.0.1:1")
	p.launch(t)
	select {
	case <-p.listening:
	case <-time.After(stepTimeout):
		t.Fatal("the process wrote no log line within the step timeout")
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.waitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against tasks that are lost or run twice after a process is killed, and
// against a restarted process that does not serve again.
func TestSIGKILLAndRestart(t *testing.T) {
	c := newTestCluster(t)
	killed, other := c.owner()
	c.submit(killed, "before", 300, "run=300ms")
	c.eventually("first starts", func() error {
		if c.startCount() == 0 {
			return fmt.Errorf("nothing has started")
		}
		return nil
	})
	if err := killed.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	killed.waitExit(t)
	killed.start(t)
	c.submit(killed, "after", 50, "run=50ms")
	for _, p := range []*process{killed, other} {
		c.waitForSuccess(p, "before", 300)
		c.waitForSuccess(p, "after", 50)
	}
	c.checkExecutions()
}

// Guards against a process that is paused for longer than its ownership of a
// shard lasts, and that starts tasks under its old fencing token when it resumes.
func TestPausedOwnerStartsNothing(t *testing.T) {
	c := newTestCluster(t)
	paused, other := c.owner()
	// The tasks exceed the capacity of the hosts, so the paused owner has a queue.
	c.submit(other, "before", 1200, "run=2s")
	c.eventually("first starts", func() error {
		if c.startCount() == 0 {
			return fmt.Errorf("nothing has started")
		}
		return nil
	})
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	c.waitUntilOwnsAll(other)
	highest := uint64(0)
	for _, claim := range c.claims(other) {
		highest = max(highest, claim.Token)
	}
	c.eventually("starts under the new token", func() error {
		for _, x := range c.platform.Fleet.Journal().Executions() {
			if x.Token == highest {
				return nil
			}
		}
		return fmt.Errorf("none under token %d", highest)
	})
	if err := paused.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	c.eventually("the resumed process catches up with the log", func() error {
		for _, claim := range c.claims(paused) {
			if claim.Token == highest {
				return nil
			}
		}
		return fmt.Errorf("it has not read token %d", highest)
	})
	c.waitForSuccess(other, "before", 1200)
	c.checkExecutions()
}
