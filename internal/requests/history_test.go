package requests

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	standin "github.com/medlarpulley/medlarpulley/internal/standin/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"pgregory.net/rapid"
)

// faults are the faults that a runner may inject into a request.
var faults = []standin.Fault{
	{}, {}, {CloseAfter: true, Times: 1}, {CloseBefore: true, Times: 1}, {Truncate: true, Times: 1},
	{Fail: true, Times: 1}, {Unframed: true, Times: 1}, {Verdict: "may-have-run", Times: 1},
}

// callerCall is a request and the response that its caller received.
type callerCall struct {
	id, body string
	answer   *httptest.ResponseRecorder
}

func (a callerCall) verdict() string { return a.answer.Header().Get(verdict.Header) }

// Guards against a second execution of a non-idempotent request, a false
// "did not run", and a response that belongs to another caller or is truncated.
// Responses and messages between nodes are lost while callers retry concurrently
// through other nodes.
func TestVerdictsMatchExecutions(t *testing.T) {
	o, ro := testOptions()
	o.PeerTimeout = 2 * time.Second
	f := newTestCluster(t, 3, 2, o, ro)
	round := 0
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		round++
		f.injectFaults(t)
		var calls []callerCall
		for range rapid.IntRange(2, 8).Draw(t, "calls") {
			id := fmt.Sprintf("%d-%d", round, rapid.IntRange(0, 2).Draw(t, "id"))
			calls = append(calls, callerCall{id: id, body: "body of " + id})
		}
		nodes := rapid.SliceOfN(rapid.IntRange(0, 2), len(calls), len(calls)).Draw(t, "nodes")
		parallel := rapid.IntRange(1, 4).Draw(t, "parallel")
		for start := 0; start < len(calls); start += parallel {
			var wg sync.WaitGroup
			for i := start; i < min(start+parallel, len(calls)); i++ {
				wg.Go(func() {
					calls[i].answer = f.nodes[nodes[i]].do(post(calls[i].id, calls[i].body, HeaderDeadline, "500ms"))
				})
			}
			wg.Wait()
		}
		for _, c := range calls {
			counts[c.verdict()]++
		}
		f.checkVerdicts(t, calls)
	})
	for _, v := range []verdict.Verdict{verdict.DidRun, verdict.DidNotRun, verdict.MayHaveRun} {
		if counts[v.String()] == 0 {
			t.Errorf("no request ended with %s, so the test covers too little (%v)", v, counts)
		}
	}
}

// injectFaults draws a fault for each runner and cuts some links between nodes.
func (f *testCluster) injectFaults(t *rapid.T) {
	for _, r := range f.runners {
		fault := rapid.SampledFrom(faults).Draw(t, "fault")
		if fault.Times > 0 {
			fault.Times = rapid.IntRange(1, 3).Draw(t, "times")
		}
		r.SetFault(fault)
		if rapid.Bool().Draw(t, "close connections") {
			r.CloseConnections()
		}
	}
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			f.setLinkCut(from.name, to.name, rapid.IntRange(0, 3).Draw(t, "cut") == 3)
		}
	}
	// Advance the clock, so that leases are renewed or expire.
	f.clock.offset.Add(int64(rapid.IntRange(0, 3).Draw(t, "hundreds of ms")) * int64(100*time.Millisecond))
}

// checkVerdicts compares the verdicts and bodies that callers received with the
// executions at the runners.
func (f *testCluster) checkVerdicts(t *rapid.T, calls []callerCall) {
	notRun, ran := map[string]bool{}, map[string]bool{}
	for _, c := range calls {
		if _, ok := notRun[c.id]; !ok {
			notRun[c.id] = true
		}
		switch c.verdict() {
		case "did-not-run":
		case "did-run":
			notRun[c.id], ran[c.id] = false, true
			want := standin.Answer(c.id, "POST", "/x", []byte(c.body))
			if c.answer.Code == 200 && !bytes.Equal(c.answer.Body.Bytes(), want) {
				t.Fatalf("%s got %q, want its own complete response %q", c.id, c.answer.Body, want)
			}
		case "may-have-run":
			notRun[c.id] = false
		default:
			t.Fatalf("%s got no verdict: %d %s", c.id, c.answer.Code, c.answer.Body)
		}
	}
	for id, none := range notRun {
		n := f.executions(id)
		switch {
		case n > 1:
			t.Fatalf("%s was executed %d times", id, n)
		case none && n > 0:
			t.Fatalf("%s: all callers got did-not-run, but it was executed", id)
		case ran[id] && n != 1:
			t.Fatalf("%s: a caller got did-run, but it was executed %d times", id, n)
		}
	}
	for i, r := range f.runners {
		if _, _, highest := r.Totals(); highest > standin.Slots {
			t.Fatalf("runner %d had %d concurrent requests", i, highest)
		}
	}
}
