package faultmatrix

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	// heldTimeout is the deadline of requests that run during a planned stop, the
	// longest one that an entry node accepts. With requestTimeout, which began with
	// the call, requests that reached a slow node late ended by their own deadline
	// while their runners were held, and counted as aborted.
	heldTimeout = 30 * time.Second
	// releasedBound is the time within which such requests must end once their
	// runners no longer hold them.
	releasedBound = requestTimeout
)

// checkDrain checks that a planned stop of a node does not abort the requests that
// it is serving (I9).
func (tc *testCluster) checkDrain() {
	tc.mustReach("slots on the first node", func() bool {
		r, err := tc.client(0, ordersKey).Request(tc.ctx, apiclient.Request{Upstream: upstream, Method: http.MethodPost, Path: "/work", ID: "first", Idempotent: true, Timeout: time.Second})
		return err == nil && r.Status == http.StatusOK
	})
	tc.drainDuringRequests()
}

// drainDuringRequests stops the first node while it serves two requests, and
// checks that both end normally.
func (tc *testCluster) drainDuringRequests() {
	for _, r := range tc.cluster.Runners {
		r.Hold()
	}
	ids := []string{tc.newID("drained"), tc.newID("drained")}
	// The requests are idempotent: non-idempotent ones need votes, and a restarted
	// node has no vote for 10 minutes.
	for _, id := range ids {
		tc.requestWithin(heldTimeout, 0, id, true)
	}
	running := func() bool {
		return tc.requestExecutions(ids[0]) > 0 && tc.requestExecutions(ids[1]) > 0
	}
	// The timeout is that of every other event of the matrix: on a busy machine a
	// request takes longer than 2 s to reach its runner.
	reached := tc.waitFor(stepTimeout, running)
	tc.processes[0].signal(syscall.SIGTERM)
	tc.waitFor(faultDuration, never)
	for _, r := range tc.cluster.Runners {
		r.Release()
	}
	ended := make(chan struct{})
	go func() { tc.callers.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(releasedBound):
		tc.recordViolation("I9: requests did not end within %s after their runners went on", releasedBound)
		<-ended
	}
	tc.processes[0].stop(syscall.SIGTERM)
	tc.restart()
	if !reached {
		tc.recordViolation("I9: the requests sent before a drain did not reach a runner")
		return
	}
	for _, r := range tc.requests {
		if (r.id == ids[0] || r.id == ids[1]) && r.verdict != verdict.DidRun {
			tc.recordViolation("I9: request %s was aborted by a planned stop: %s", r.id, r.verdict)
		}
	}
}

// Guards against a drain check (I9) that blames the planned stop for requests that
// reached a slow node late and ended by their own deadline.
func TestFaultMatrixDrainOfSlowNode(t *testing.T) {
	tc := newTestCluster(t, firstSeed)
	tc.prepare()
	tc.processes[0].signal(syscall.SIGSTOP)
	tc.watchers.Go(func() {
		tc.waitFor(requestTimeout+2*time.Second, never)
		tc.processes[0].signal(syscall.SIGCONT)
	})
	tc.drainDuringRequests()
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, v := range tc.violations {
		t.Error(v)
	}
}
