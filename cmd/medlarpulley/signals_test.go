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

// Guards against a planned stop that cuts off requests, that is not announced
// to the balancer first, that keeps its shards, or that go-zero's forced exit
// ends (I9).
func TestSIGTERMDrains(t *testing.T) {
	s := newScene(t)
	stopped, other := s.owner()
	s.submit(stopped, "before", 200, "run=300ms")
	request := func(id string) apiclient.Request {
		return apiclient.Request{
			Upstream: "matching", Method: http.MethodPost, Path: "/work", Body: []byte(id), ID: id, Idempotent: id[0] == 'i', Timeout: 25 * time.Second,
		}
	}
	s.eventually("first request", func() error {
		_, err := s.client(stopped, ordersKey).Request(s.ctx, request("i-warm-up"))
		return err
	})
	for _, r := range s.platform.Runners {
		for len(r.Arrived()) > 0 {
			<-r.Arrived()
		}
		r.Hold()
	}
	var wg sync.WaitGroup
	const count = 6
	for i := range count {
		id := fmt.Sprintf("%c-%d", "in"[i%2], i)
		wg.Go(func() {
			resp, err := s.client(stopped, ordersKey).Request(s.ctx, request(id))
			if err != nil || resp.Status != http.StatusOK {
				t.Errorf("request %s: status %d, %v", id, resp.Status, err)
			}
		})
	}
	s.eventually("arrival of the requests", func() error {
		arrived := 0
		for _, r := range s.platform.Runners {
			arrived += len(r.Arrived())
		}
		if arrived < count {
			return fmt.Errorf("%d of %d requests have arrived", arrived, count)
		}
		return nil
	})
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.eventually("readiness off while the process serves", func() error {
		status, err := s.status(stopped, "/readyz")
		if err != nil {
			t.Fatalf("the listener is closed before readiness is off: %v", err)
		}
		if status != http.StatusServiceUnavailable {
			return fmt.Errorf("readiness is %d", status)
		}
		return nil
	})
	if status, err := s.status(stopped, "/healthz"); err != nil || status != http.StatusOK {
		t.Errorf("health after readiness went off: %d, %v", status, err)
	}
	for _, r := range s.platform.Runners {
		r.Release()
	}
	wg.Wait()
	if code := stopped.wait(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	s.ownsAll(other)
	s.submit(other, "after", 50, "run=50ms")
	s.ended(other, "before", 200)
	s.ended(other, "after", 50)
	s.check()
}

// Guards against a process that cannot be stopped because the log, which it
// never reached, is away.
func TestSIGTERMBeforeJoin(t *testing.T) {
	p := newProcess(t, "entry-1", "zone-a", "http://127.0.0.1:1", "http://127.0.0.1:1")
	p.launch(t)
	select {
	case <-p.listening:
	case <-time.After(limit):
		t.Fatal("the process does not listen")
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.wait(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against work that is lost or doubled with a killed process, and
// against a restart that does not serve again.
func TestSIGKILLAndRestart(t *testing.T) {
	s := newScene(t)
	killed, other := s.owner()
	s.submit(killed, "before", 300, "run=300ms")
	s.eventually("first starts", func() error {
		if s.starts() == 0 {
			return fmt.Errorf("nothing has started")
		}
		return nil
	})
	if err := killed.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	killed.wait(t)
	killed.start(t)
	s.submit(killed, "after", 50, "run=50ms")
	for _, p := range []*process{killed, other} {
		s.ended(p, "before", 300)
		s.ended(p, "after", 50)
	}
	s.check()
}

// Guards against a process that was paused for longer than its authority and
// starts work under its old token when it wakes.
func TestPausedOwnerStartsNothing(t *testing.T) {
	s := newScene(t)
	paused, other := s.owner()
	// More work than the hosts hold, so that the paused owner has a queue.
	s.submit(other, "before", 1200, "run=2s")
	s.eventually("first starts", func() error {
		if s.starts() == 0 {
			return fmt.Errorf("nothing has started")
		}
		return nil
	})
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	s.ownsAll(other)
	highest := uint64(0)
	for _, c := range s.claims(other) {
		highest = max(highest, c.Token)
	}
	s.eventually("starts under the new token", func() error {
		for _, x := range s.platform.Fleet.Journal().Executions() {
			if x.Token == highest {
				return nil
			}
		}
		return fmt.Errorf("none under token %d", highest)
	})
	if err := paused.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	s.eventually("the process that woke reads on", func() error {
		for _, c := range s.claims(paused) {
			if c.Token == highest {
				return nil
			}
		}
		return fmt.Errorf("it has not read token %d", highest)
	})
	s.ended(other, "before", 1200)
	s.check()
}
