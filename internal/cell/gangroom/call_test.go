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

// Guards against calls that are too short to find room for a gang in a busy cell, and against
// long ones where a short one is enough or the gang has no time for it.
func TestHostsOfACall(t *testing.T) {
	bundle := Call{Members: 20, ApprovalShare: 0.35, PerHost: 8 * time.Millisecond, Slack: 4 * time.Second, Least: 34, Most: 100}
	for name, c := range map[string]struct {
		change func(*Call)
		want   int
	}{
		"idle cell":             {func(c *Call) { c.Fits = repeat(350, 3) }, 77},
		"narrow gang":           {func(c *Call) { c.Fits, c.Members = repeat(350, 3), 3 }, 34},
		"every third host free": {func(c *Call) { c.Fits = append(repeat(20, 3), repeat(330, 0)...) }, 100},
		"few hosts":             {func(c *Call) { c.Fits = repeat(10, 0) }, 10},
		"no hosts":              {func(c *Call) { c.Fits = nil }, 0},
		"little time":           {func(c *Call) { c.Fits, c.Slack = repeat(350, 0), 800*time.Millisecond }, 50},
		"no time":               {func(c *Call) { c.Fits, c.Slack = repeat(350, 0), -time.Second }, 34},
		"hosts cost no time":    {func(c *Call) { c.Fits, c.Slack, c.PerHost = repeat(350, 0), 0, 0 }, 100},
	} {
		call := bundle
		c.change(&call)
		if got := call.Hosts(); got != c.want {
			t.Errorf("%s: %d hosts, want %d", name, got, c.want)
		}
	}
}

// Guards against calls that exceed a bound, or that are shorter than without this package
// although there are hosts to ask about.
func TestHostsOfACallAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Call{
			Members: rapid.IntRange(0, 300).Draw(t, "members"), Fits: rapid.SliceOfN(rapid.IntRange(0, 50), 0, 200).Draw(t, "fits"),
			ApprovalShare: rapid.Float64Range(0, 1).Draw(t, "share"), PerHost: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "per host")),
			Slack: time.Duration(rapid.Int64().Draw(t, "slack")), Least: rapid.IntRange(1, 100).Draw(t, "least"), Most: 100,
		}
		got := c.Hosts()
		if got > c.Most || got > len(c.Fits) {
			t.Errorf("%d hosts of %d, at most %d are allowed", got, len(c.Fits), c.Most)
		}
		if got < min(c.Least, len(c.Fits)) {
			t.Errorf("%d hosts of %d, at least %d are wanted", got, len(c.Fits), c.Least)
		}
		if extra := time.Duration(got) * c.PerHost; got > c.Least && extra > max(c.Slack, 0)/slackDivisor {
			t.Errorf("%d hosts add %s to a call with a slack of %s", got, extra, c.Slack)
		}
	})
}

// Guards against a share outside of its range, and one that does not follow the answers.
func TestApprovalFollowsTheAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Approval
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			a.Add(rapid.IntRange(-1, 100).Draw(t, "named"), rapid.IntRange(-1, 120).Draw(t, "approved"))
			if s := a.Share(); s <= 0 || s >= 1 {
				t.Fatalf("the share is %f", s)
			}
		}
		for range 60 {
			a.Add(100, 35)
		}
		if s := a.Share(); s < 0.33 || s > 0.37 {
			t.Errorf("the share is %f after 60 calls that approved 0.35", s)
		}
	})
}
