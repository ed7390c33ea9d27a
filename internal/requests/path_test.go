package requests

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Guards against a drain that cuts off requests in flight or accepts new ones.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	o, ro := testOptions()
	f := newTestCluster(t, 1, 1, o, ro)
	f.runners[0].Hold()
	answers := make(chan int, 1)
	go func() { answers <- f.nodes[0].do(post("id", "body")).Code }()
	f.awaitArrivals(1)
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	if left := f.nodes[0].server.Drain(expired); left == 0 {
		t.Fatal("a request is in flight, but Drain reports none left")
	}
	if code := f.nodes[0].do(post("new", "body")).Code; code != http.StatusServiceUnavailable {
		t.Fatalf("a draining node answered %d", code)
	}
	f.runners[0].Release()
	if code := <-answers; code != http.StatusOK {
		t.Fatalf("the request in flight got %d", code)
	}
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	if left := f.nodes[0].server.Drain(ctx); left != 0 {
		t.Fatalf("%d requests were left", left)
	}
}

// Guards against retries that exceed the budget, and against any retry of a
// non-idempotent request.
func TestRetriesStayWithinBudget(t *testing.T) {
	o, ro := testOptions()
	o.Router.EjectFailureThreshold = 1 << 30
	f := newTestCluster(t, 1, 2, o, ro)
	for _, r := range f.runners {
		r.SetFault(standin.Fault{CloseAfter: true})
	}
	const requests = 100
	for i := range requests {
		f.nodes[0].do(request(http.MethodGet, "/v1/upstreams/u/x", "", HeaderID, fmt.Sprint("g", i), HeaderDeadline, "5s"))
		f.nodes[0].do(post(fmt.Sprint("p", i), "body", HeaderDeadline, "5s"))
	}
	total := 0
	for i := range requests {
		total += f.executions(fmt.Sprint("g", i))
		if n := f.executions(fmt.Sprint("p", i)); n > 1 {
			t.Fatalf("non-idempotent request %d ran %d times", i, n)
		}
	}
	// The budget is 10 % of all 200 requests.
	if total > requests+2*requests/10 {
		t.Fatalf("%d executions of %d idempotent requests", total, requests)
	}
}

// Guards against responses that are swapped, truncated or changed when many
// callers send through several nodes, and against more than eight concurrent
// requests at a runner.
func TestManyCallersGetTheirOwnAnswers(t *testing.T) {
	o, ro := testOptions()
	f := newTestCluster(t, 3, 2, o, ro)
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Go(func() {
			id := fmt.Sprint("m", i)
			body := strings.Repeat(id, 1+i*200)
			method := []string{http.MethodPut, http.MethodPost}[i%2]
			w := f.nodes[i%3].do(request(method, "/v1/upstreams/u/p%20q?x=1", body, HeaderID, id))
			want := standin.Answer(id, method, "/p%20q?x=1", []byte(body))
			if w.Code != 200 || !bytes.Equal(w.Body.Bytes(), want) || w.Header().Get(verdict.Header) != "did-run" {
				t.Errorf("%s: %d with %d bytes, want %d; %.200s", id, w.Code, w.Body.Len(), len(want), w.Body)
			}
		})
	}
	wg.Wait()
	for i, r := range f.runners {
		_, refused, highest := r.Totals()
		if highest > standin.Slots || refused > 0 {
			t.Errorf("runner %d: %d concurrent requests, %d refused by the runner", i, highest, refused)
		}
	}
}

// Guards against new requests to a runner that reports that it is leaving.
func TestLeavingRunnerGetsNoNewRequests(t *testing.T) {
	o, ro := testOptions()
	f := newTestCluster(t, 1, 2, o, ro)
	f.runners[0].SetLeaving(true)
	f.runners[1].Hold()
	f.nodes[0].start(post("one", ""), post("two", ""))
	f.await("both runners used", func() bool { return f.runners[0].Executions("one")+f.runners[0].Executions("two") > 0 })
	// An execution shows that the runner has a request, but not that the node has
	// the response, which states that the runner is leaving.
	f.await("what the runner says, at the node", func() bool {
		return slices.ContainsFunc(f.nodes[0].server.Dump().Upstreams[0].Runners, func(r router.RunnerReport) bool { return r.Leaving })
	})
	before, _, _ := f.runners[0].Totals()
	f.runners[1].Release()
	for i := range 20 {
		f.nodes[0].do(post(fmt.Sprint("l", i), ""))
	}
	if after, _, _ := f.runners[0].Totals(); after != before {
		t.Fatalf("%d requests after the runner reported that it is leaving", after-before)
	}
}

// Guards against slots that stay in use after the caller of their request has
// disconnected.
func TestAbandonedSlotsAreFreed(t *testing.T) {
	o, ro := testOptions()
	f := newTestCluster(t, 1, 1, o, ro)
	f.runners[0].Hold()
	for i := range standin.Slots {
		f.nodes[0].do(request(http.MethodGet, "/v1/upstreams/u/x", "", HeaderID, fmt.Sprint(i), HeaderDeadline, "20ms"))
	}
	f.runners[0].Release()
	f.await("free slots", func() bool {
		r := f.nodes[0].server.Dump().Upstreams[0].Runners[0]
		return r.InFlight == 0 && r.Unknown == 0
	})
	if w := f.nodes[0].do(post("id", "", HeaderDeadline, time.Second.String())); w.Code != 200 {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
}
