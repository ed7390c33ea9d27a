package peers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Guards against retries of a refused submission that reach a node which does not know of the
// refusal, and against all calls going to one node.
func TestCallsForOnePathGoToOneNode(t *testing.T) {
	p, first := &Pool{ForwardByPath: true}, map[string]int{}
	targets := func() (out []*endpoint) {
		for i := range 8 {
			out = append(out, &endpoint{name: fmt.Sprintf("frontend-%d", i)})
		}
		return out
	}
	for i := range 800 {
		r := &CallRequest{Method: "POST", Path: fmt.Sprintf("/q/%016x", i)}
		a, b := targets(), targets()
		slices.Reverse(b)
		name := p.orderTargets(r, a)[0].name
		if other := p.orderTargets(r, b)[0].name; other != name {
			t.Fatalf("a call goes to %s, its repetition to %s", name, other)
		}
		first[name]++
	}
	for name, n := range first {
		if n > 200 || len(first) < 8 {
			t.Errorf("%s gets %d of 800 calls; %d of 8 nodes get some", name, n, len(first))
		}
	}
}

// Guards against a refusal for the load of the cell that is not passed on, so that the node
// which forwarded the call stores the submission itself; and against one that is passed on
// although another node may have stored it.
func TestFinalRefusalIsPassedOn(t *testing.T) {
	r := &CallRequest{Method: "POST"}
	for _, c := range []struct {
		resp CallResponse
		may  bool
		want bool
	}{
		{CallResponse{Status: 503}, false, false},
		{CallResponse{Status: 503, Final: true}, false, true},
		{CallResponse{Status: 503, Final: true}, true, false},
		{CallResponse{Status: 429}, false, true},
		{CallResponse{Status: 429}, true, false},
	} {
		earlier := verdict.DidNotRun
		if c.may {
			earlier = verdict.MayHaveRun
		}
		if got := c.resp.canPassOn(r, earlier); got != c.want {
			t.Errorf("%+v after verdict %s: passed on %t", c.resp, earlier, got)
		}
	}
}
