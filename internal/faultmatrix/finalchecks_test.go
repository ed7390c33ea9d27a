package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/homing"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// inForceBound is the time within which a publication must be in force on all
	// nodes (I10), leavingBound the time after which a leaving runner must not get
	// any request (I8).
	inForceBound = 13 * time.Second
	leavingBound = 3 * time.Second
	// temporaryKey is the secret of a key that is published and then withdrawn.
	temporaryKey = "matrix-secret"
)

// finishAndCheck restarts all nodes, waits without faults until all work has
// ended, and makes the final checks. It returns the violations that checkExecutions
// and checkCallers find; the other checks add theirs to tc.violations.
func (tc *testCluster) finishAndCheck() []string {
	tc.restart()
	tc.checkInForce()
	tc.waitForJobs()
	tc.checkKeys()
	tc.checkDrain()
	tc.checkLeaving()
	return append(tc.checkExecutions(), tc.checkCallers()...)
}

// checkInForce checks that every accepted revision comes into force on all nodes
// within inForceBound (I10).
func (tc *testCluster) checkInForce() {
	tc.mustReach("first response of every node", func() bool {
		_, ok := tc.nodeBehind(0)
		return ok
	})
	tc.mu.Lock()
	revision := tc.revision
	tc.mu.Unlock()
	tc.waitFor(inForceBound, func() bool { node, ok := tc.nodeBehind(revision); return ok && node == "" })
	if node, _ := tc.nodeBehind(revision); node != "" {
		tc.recordViolation("I10: revision %d is not in force on %s within %s", revision, node, inForceBound)
	}
}

// nodeBehind returns the name of a node whose revision is below the given one, or
// an empty name if there is none. The result is false if a node does not respond.
func (tc *testCluster) nodeBehind(revision uint64) (string, bool) {
	for _, p := range tc.processes {
		client, err := apiclient.New(apiclient.Options{Entries: []string{p.httpAddress()}, Key: operatorToken})
		if err != nil {
			return p.name, false
		}
		ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
		status, err := client.RevisionStatus(ctx, 0)
		cancel()
		if err != nil || status.Current < revision {
			return p.name, err == nil
		}
	}
	return "", true
}

// waitForJobs waits until all accepted jobs have ended and compares their outcomes
// with the executions that the workers recorded.
func (tc *testCluster) waitForJobs() {
	ended := make(chan struct{})
	go func() { tc.callers.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(completionTimeout):
		tc.recordViolation("calls did not return within %s", completionTimeout)
		return
	}
	succeeded := map[string]int32{}
	deadline := time.Now().Add(completionTimeout)
	for id, j := range tc.jobs {
		if j.refused {
			continue
		}
		client := tc.client(0, operatorToken)
		var status gateway.JobStatus
		var err error
		if !tc.waitFor(time.Until(deadline), func() bool {
			status, err = client.Status(tc.ctx, id)
			return err == nil && status.State == gateway.StateEnded
		}) {
			tc.recordViolation("%s was accepted but has not ended: state %s, tasks %v, reason %s, error %v", id, status.State, status.Tasks, status.Reason, err)
			continue
		}
		succeeded[id] = status.Tasks[work.Succeeded.String()]
		tc.checkOutcomeCount(j, status)
	}
	ran := map[string]int32{}
	for _, x := range tc.cluster.Fleet.Journal().Executions() {
		if x.Ended && x.Outcome == work.Succeeded {
			ran[string(x.Attempt.Task.Job)]++
		}
	}
	for id, n := range succeeded {
		if n > ran[id] {
			tc.recordViolation("I5: %d tasks of %s are reported as succeeded, the workers recorded %d", n, id, ran[id])
		}
	}
}

func (tc *testCluster) checkOutcomeCount(j *submittedJob, status gateway.JobStatus) {
	total := int32(0)
	for _, n := range status.Tasks {
		total += n
	}
	if total != j.spec.Tasks {
		tc.recordViolation("I5: %d of %d tasks of %s have an outcome", total, j.spec.Tasks, j.spec.ID)
	}
}

// checkKeys publishes a key, withdraws it and also tries an unknown key (I3).
func (tc *testCluster) checkKeys() {
	spec := objects.HashSecret(temporaryKey)
	added := objects.Change{Kind: objects.KindKey, Name: "matrix", Spec: fmt.Appendf(nil, `{"team":"orders","sha256":"%s"}`, spec)}
	tc.mustReach("publication of a key", func() bool { return tc.publish(tc.ctx, 0, []objects.Change{added}) == nil })
	for i, p := range tc.processes {
		tc.mustReach("use of a new key", func() bool { return tc.submissionErrorCode(i, temporaryKey) == homing.CodeInfeasible })
		// A node that cannot prove that its objects are current refuses the call before
		// it checks the key.
		var c string
		if !tc.waitFor(inForceBound, func() bool {
			c = tc.submissionErrorCode(i, "wrong-secret")
			return c == gateway.CodeUnauthenticated || c == homing.CodeInfeasible
		}) || c == homing.CodeInfeasible {
			tc.recordViolation("I3: %s responds with %s to an unknown key", p.name, c)
		}
	}
	withdrawn := objects.Change{Kind: objects.KindKey, Name: "matrix", Withdrawn: true}
	tc.mustReach("withdrawal of a key", func() bool { return tc.publish(tc.ctx, 0, []objects.Change{withdrawn}) == nil })
	for i, p := range tc.processes {
		if !tc.waitFor(inForceBound, func() bool { return tc.submissionErrorCode(i, temporaryKey) == gateway.CodeUnauthenticated }) {
			tc.recordViolation("I3: %s did not refuse a withdrawn key within %s", p.name, inForceBound)
		}
	}
}

// submissionErrorCode returns the error code with which a node refuses a job that
// is too large for every host. It is homing.CodeInfeasible if the key is accepted.
func (tc *testCluster) submissionErrorCode(i int, key string) string {
	client, err := apiclient.New(apiclient.Options{Entries: []string{tc.processes[i].httpAddress()}, Key: key})
	if err != nil {
		return err.Error()
	}
	spec := job(tc.newID("probe"), 1, true, "")
	spec.Size.MilliCPU = 24_000
	_, err = client.Submit(tc.ctx, spec, false)
	return errorCode(err)
}

func errorCode(err error) string {
	if e, ok := err.(*verdict.Error); ok {
		return e.Code
	}
	return ""
}

func (tc *testCluster) requestExecutions(id string) (n int) {
	for _, r := range tc.cluster.Runners {
		n += r.Executions(id)
	}
	return n
}

// checkLeaving marks a runner as leaving in the host list and checks that it gets
// no requests after leavingBound (I8).
func (tc *testCluster) checkLeaving() {
	for _, h := range tc.cluster.Hosts.Actual() {
		if h.Address == tc.cluster.Runners[0].Address() {
			h.Leaving = true
			tc.cluster.Hosts.Put(h)
		}
	}
	if n := tc.requestsAfterLeaving(); n > 0 {
		tc.recordViolation("I8: a leaving runner got %d requests after %s", n, leavingBound)
	}
}

// requestsAfterLeaving waits for leavingBound, sends 20 requests and returns how
// many requests the first runner got since then.
func (tc *testCluster) requestsAfterLeaving() int {
	tc.waitFor(leavingBound, never)
	before, _, _ := tc.cluster.Runners[0].Totals()
	for i := range 20 {
		tc.request(i%len(tc.processes), tc.newID("late"), true)
	}
	tc.callers.Wait()
	after, _, _ := tc.cluster.Runners[0].Totals()
	return after - before
}
