package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// sharedCell returns a full cell of 160 cores in which teams a and b have much work.
func sharedCell() *cluster {
	c := newCluster(10, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	c.s.options.Features.FairShares = true
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	return c
}

// coresOf returns the cores that a team uses.
func (c *cluster) coresOf(team string) int { return int(c.s.team(team).used.MilliCPU / 1000) }

// sendBoth submits work of both teams, twice as much as there is room for, for a time.
func (c *cluster) sendBoth(d time.Duration) {
	for end := c.now + d; c.now < end; {
		for _, team := range []string{"a", "b"} {
			c.submit(fmt.Sprintf("%s%d", team, len(c.jobs)), "q", team, coreStep(16, time.Second))
		}
		c.advance(100 * time.Millisecond)
	}
}

// Guards against shares that keep a team from room that nobody else asks for.
func TestTeamAloneUsesEverything(t *testing.T) {
	c := sharedCell()
	for i := range 40 {
		c.submit(fmt.Sprintf("s%d", i), "q", "a", coreStep(8, 10*time.Second))
	}
	c.advance(50 * time.Millisecond)
	c.advance(50 * time.Millisecond)
	if got := c.coresOf("a"); got != 160 {
		t.Errorf("a team that is alone uses %d of 160 cores", got)
	}
}

// Guards against a weight that changes in the middle of a burst and has no effect, or a team
// that is added or withdrawn and breaks the division.
func TestSharesFollowChangedWeights(t *testing.T) {
	c := sharedCell()
	weigh := func(a, b float64) {
		c.teams = map[string]cell.Team{"a": {Name: "a", Weight: a}, "b": {Name: "b", Weight: b}}
		c.publish()
	}
	expect := func(what string, least, most int) {
		t.Helper()
		sum := 0
		for range 20 {
			c.sendBoth(100 * time.Millisecond)
			sum += c.coresOf("a")
		}
		if got := sum / 20; got < least || got > most {
			t.Errorf("%s: team a uses %d of 160 cores, not %d to %d", what, got, least, most)
		}
	}
	weigh(100, 100)
	c.sendBoth(8 * time.Second)
	expect("equal weights", 72, 88)
	weigh(300, 100)
	c.sendBoth(8 * time.Second)
	expect("after the weight has tripled", 108, 132)
	c.teams["c"] = cell.Team{Name: "c", Weight: 1000}
	delete(c.teams, "b") // its accepted work goes on
	c.publish()
	c.sendBoth(4 * time.Second)
	expect("a team without work is added, another one withdrawn", 108, 132)
	for _, v := range c.violations {
		t.Error(v)
	}
}

// Guards against a new owner that takes a team whose runs it has just learned of for one that
// uses nothing, and starts its excess work.
func TestSuccessorCountsReportedRuns(t *testing.T) {
	c := sharedCell()
	c.sendBoth(4 * time.Second)
	before := c.coresOf("a")
	next := New(Options{RunNumberBase: 1000, GangTimeout: 3 * time.Second, Features: Features{FairShares: true}})
	old := c.s
	c.s = next
	var list []cell.Host
	for _, id := range c.ids() {
		list = append(list, c.hosts[id].spec)
	}
	c.publish()
	c.s.SetHosts(list)
	c.s.SetListedHosts(list)
	for _, id := range c.jobIDs() {
		if p, ok := old.Progress(id); ok {
			c.s.Add(c.jobs[id], p, true, c.now, c.wall())
		}
	}
	c.pollHosts()
	c.s.MarkReconciled(c.now)
	if got := c.coresOf("a"); got < before-16 || got > before+16 {
		t.Errorf("the new owner counts %d cores of team a, its predecessor %d", got, before)
	}
	c.advance(50 * time.Millisecond)
	a := c.s.team("a").account
	if a == nil || a.Usage < 0.3 || a.Balance > 0.05 {
		t.Errorf("after a takeover the account of a team that uses half of the cell is %+v", a)
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}
