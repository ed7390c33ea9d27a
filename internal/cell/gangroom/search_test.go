package gangroom

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func repeat(n, fits int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = fits
	}
	return out
}

// Guards against calls that are too short to find room for a gang in a busy cell, against long
// ones where a short one is enough or the gang has no time for it, and against parallel calls
// that take the last nodes.
func TestHostsAndCalls(t *testing.T) {
	bundle := Search{
		Members: 20, ApprovalShare: 0.35, PerHost: 8 * time.Millisecond, Slack: 4 * time.Second, Least: 34, Most: 100,
		Nodes: Nodes{Free: 25, All: 37},
	}
	for name, c := range map[string]struct {
		change       func(*Search)
		hosts, calls int
	}{
		"idle cell":                 {func(s *Search) { s.Fits = repeat(350, 3) }, 77, 2},
		"narrow gang":               {func(s *Search) { s.Fits, s.Members = repeat(350, 3), 3 }, 34, 1},
		"few hosts have room":       {func(s *Search) { s.Fits = append(repeat(20, 3), repeat(330, 0)...) }, 150, 2},
		"few hosts":                 {func(s *Search) { s.Fits = repeat(10, 0) }, 10, 1},
		"no hosts":                  {func(s *Search) { s.Fits = nil }, 0, 1},
		"little time":               {func(s *Search) { s.Fits, s.Slack = repeat(350, 0), 800*time.Millisecond }, 100, 2},
		"no time":                   {func(s *Search) { s.Fits, s.Slack = repeat(350, 0), -time.Second }, 68, 2},
		"hosts cost no time":        {func(s *Search) { s.Fits, s.Slack, s.PerHost = repeat(350, 0), 0, 0 }, 150, 2},
		"one node beyond the spare": {func(s *Search) { s.Fits, s.Nodes.Free = repeat(350, 0), 7 }, 100, 1},
		"last node":                 {func(s *Search) { s.Fits, s.Nodes.Free = repeat(350, 0), 1 }, 100, 1},
	} {
		s := bundle
		c.change(&s)
		if hosts, calls := s.Plan(); hosts != c.hosts || calls != c.calls {
			t.Errorf("%s: %d hosts in %d calls, want %d in %d", name, hosts, calls, c.hosts, c.calls)
		}
	}
}

// Guards against calls that exceed a bound, or name fewer hosts than without this package
// although there are hosts to ask about.
func TestHostsAndCallsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Search{
			Members: rapid.IntRange(0, 300).Draw(t, "members"), Fits: rapid.SliceOfN(rapid.IntRange(0, 50), 0, 200).Draw(t, "fits"),
			ApprovalShare: rapid.Float64Range(0, 1).Draw(t, "share"), PerHost: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "per host")),
			Slack: time.Duration(rapid.Int64().Draw(t, "slack")), Least: rapid.IntRange(1, 100).Draw(t, "least"), Most: 100,
			Nodes: Nodes{Free: rapid.IntRange(-5, 60).Draw(t, "free"), All: rapid.IntRange(0, 60).Draw(t, "nodes")},
		}
		hosts, calls := s.Plan()
		if calls < 1 || calls > maxParallelCalls || calls > 1 && calls > s.Nodes.spare() {
			t.Errorf("%d calls at one time with %+v", calls, s.Nodes)
		}
		if hosts > len(s.Fits) || hosts > calls*s.Most {
			t.Errorf("%d hosts of %d in %d calls of at most %d", hosts, len(s.Fits), calls, s.Most)
		}
		if hosts < min(s.Least, len(s.Fits), maxHostsInParallel) {
			t.Errorf("%d hosts of %d, at least %d are wanted", hosts, len(s.Fits), s.Least)
		}
		perCall := (hosts + calls - 1) / calls
		if extra := time.Duration(perCall) * s.PerHost; perCall > s.Least && extra > max(s.Slack, 0)/slackDivisor {
			t.Errorf("%d hosts add %s to a call with a slack of %s", perCall, extra, s.Slack)
		}
	})
}

// Guards against gangs that take the nodes with ever more calls, and against one that stops
// asking while its hosts cannot hold it.
func TestFurtherCalls(t *testing.T) {
	for name, c := range map[string]struct {
		members, room int
		nodes         Nodes
		want          bool
	}{
		"hosts cannot hold it":    {20, 19, Nodes{25, 37}, true},
		"hosts hold it thrice":    {20, 60, Nodes{25, 37}, true},
		"hosts hold it six times": {20, 120, Nodes{25, 37}, false},
		"only the reserve":        {20, 60, Nodes{6, 37}, false},
		"one node":                {20, 60, Nodes{1, 1}, true},
		"no node":                 {20, 60, Nodes{0, 1}, false},
	} {
		if got := Further(c.members, c.room, c.nodes); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}
