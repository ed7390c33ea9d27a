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

// faults are what a runner may do to one request.
var faults = []standin.Fault{
	{}, {}, {CloseAfter: true, Times: 1}, {CloseBefore: true, Times: 1}, {Truncate: true, Times: 1},
	{Fail: true, Times: 1}, {Unframed: true, Times: 1}, {Verdict: "may-have-run", Times: 1},
}

// told is what one caller was told about one request.
type told struct {
	id, body string
	answer   *httptest.ResponseRecorder
}

func (a told) verdict() string { return a.answer.Header().Get(verdict.Header) }

// Guards against a second execution of a non-idempotent request, an untrue
// "did not run" and an answer that is not the caller's own or not whole, when
// answers and messages between nodes are lost and callers retry through other
// nodes at the same time.
func TestCallersAreToldTheTruth(t *testing.T) {
	o, ro := testOptions()
	o.PeerTimeout = 2 * time.Second
	f := newFleet(t, 3, 2, o, ro)
	round := 0
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		round++
		f.disturb(t)
		var calls []told
		for range rapid.IntRange(2, 8).Draw(t, "calls") {
			id := fmt.Sprintf("%d-%d", round, rapid.IntRange(0, 2).Draw(t, "id"))
			calls = append(calls, told{id: id, body: "body of " + id})
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
		f.compare(t, calls)
	})
	for _, v := range []verdict.Verdict{verdict.DidRun, verdict.DidNotRun, verdict.MayHaveRun} {
		if counts[v.String()] == 0 {
			t.Errorf("no request ended %s: the test exercises too little (%v)", v, counts)
		}
	}
}

// disturb draws a fault for each runner and cuts some links between nodes.
func (f *fleet) disturb(t *rapid.T) {
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
			f.setCut(from.name, to.name, rapid.IntRange(0, 3).Draw(t, "cut") == 3)
		}
	}
	// Time passes, so leases are renewed or end.
	f.clock.offset.Add(int64(rapid.IntRange(0, 3).Draw(t, "hundreds of ms")) * int64(100*time.Millisecond))
}

func (f *fleet) compare(t *rapid.T, calls []told) {
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
				t.Fatalf("%s got %q, want its own whole answer %q", c.id, c.answer.Body, want)
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
			t.Fatalf("%s: all callers were told did-not-run, but it was executed", id)
		case ran[id] && n != 1:
			t.Fatalf("%s: a caller was told did-run, but it was executed %d times", id, n)
		}
	}
	for i, r := range f.runners {
		if _, _, highest := r.Totals(); highest > standin.Slots {
			t.Fatalf("runner %d had %d requests at once", i, highest)
		}
	}
}
