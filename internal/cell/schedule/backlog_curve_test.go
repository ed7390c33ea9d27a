package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// waitOf returns the published wait of a submission of one step that arrives now.
func waitOf(c *cluster, step cell.Step) time.Duration {
	s := c.s.LoadSummary()
	q, _ := AdmissionRequest(&cell.Submission{ID: "new", Team: "a", Steps: []cell.Step{step}}, c.queues["q"])
	d, _ := s.Wait(&q)
	return d
}

// Guards against a wait that counts work with more laxity, which new work overtakes: the order
// is not that of arrival.
func TestWaitFollowsLaxity(t *testing.T) {
	c := overloadedTeam(1)
	for i := range 20 { // a laxity of 100 s each
		c.submit(fmt.Sprintf("long%d", i), "q", "a", coreStep(8, 10*time.Second))
	}
	for i := range 5 { // a laxity of 19 s each
		c.submit(fmt.Sprintf("short%d", i), "q", "a", coreStep(8, time.Second))
	}
	c.advance(10 * time.Millisecond)
	if got := waitOf(c, coreStep(8, 500*time.Millisecond)); got != 0 {
		t.Errorf("work that overtakes all others waits for %s", got)
	}
	if got := waitOf(c, coreStep(8, 3*time.Second)); got != 5*time.Second {
		t.Errorf("work between the short and the long steps waits for %s, want 5 s", got)
	}
	if got := waitOf(c, coreStep(8, 12*time.Second)); got != 205*time.Second {
		t.Errorf("work behind all others waits for %s, want 205 s", got)
	}
}

// Guards against a wait that counts work which waits for the hosts of a label, or for a resource
// that new work does not need.
func TestWaitFollowsLabelsAndResources(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536}) // all hosts have the label k
	c.teams["a"] = cell.Team{Name: "a", Weight: 1000}
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 10, Latency: 10 * time.Second})
	cores := func(label string, count int) cell.Step {
		return cell.Step{Count: count, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second, Label: label}
	}
	c.submit("running", "q", "a", cell.Step{Count: 32, Size: resource.Vector{MilliCPU: 1000}, Estimate: 20 * time.Second})
	c.advance(10 * time.Millisecond)
	c.submit("labelled", "q", "a", cores("k", 320))
	c.submit("plain", "q", "a", cores("", 160))
	c.advance(10 * time.Millisecond)
	for name, k := range map[string]struct {
		step cell.Step
		want time.Duration
	}{
		"any host":      {cores("", 1), 5 * time.Second},
		"the label":     {cores("k", 1), 15 * time.Second},
		"another label": {cores("slow", 1), 5 * time.Second},
		"memory only":   {cell.Step{Count: 1, Size: resource.Vector{MemoryMiB: 1000}, Estimate: time.Second}, 0},
	} {
		if got := waitOf(c, k.step); got != k.want {
			t.Errorf("%s: the wait is %s, want %s", name, got, k.want)
		}
	}
	step := cores("", 1)
	step.Size.MilliCPU = 0
	if got := waitOf(c, step); got != 0 {
		t.Errorf("work that needs nothing waits for %s", got)
	}
}

// Guards against a summary of a large cell that is beyond its bound or loses everything.
func TestSummaryOfALargeCellIsBounded(t *testing.T) {
	c := largeBacklog(20, 50)
	s := c.s.LoadSummary()
	s.Token = 1
	data := s.Encode()
	got, err := admission.Decode(data)
	t.Logf("%d bytes for %d backlogs, %d of them kept", len(data), len(s.Backlogs), len(got.Backlogs))
	if err != nil || len(data) > admission.MaxSummaryBytes || len(got.Backlogs) != len(s.Backlogs) {
		t.Errorf("%d bytes, %d of %d backlogs, %v", len(data), len(got.Backlogs), len(s.Backlogs), err)
	}
	for _, b := range s.Backlogs {
		if len(b.Bounds) > admission.MaxLaxityBounds {
			t.Errorf("%d bounds", len(b.Bounds))
		}
	}
}

// largeBacklog returns a full cell in which teams at their limits have submissions waiting in
// three queues.
func largeBacklog(teams, submissions int) *cluster {
	c := newCluster(20, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	for q := range 3 {
		c.queue(cell.Queue{Name: fmt.Sprintf("queue-%d", q), Priority: 1, Stretch: 10, Latency: 100 * time.Second})
	}
	for i := range teams {
		name := fmt.Sprintf("team-%02d", i)
		c.teams[name] = cell.Team{Name: name, Weight: 100_000, Limit: resource.Vector{MilliCPU: 16_000, MemoryMiB: 1024}}
		for n := range submissions {
			for q := range 3 {
				c.submit(fmt.Sprintf("%s-%d-%d", name, q, n), fmt.Sprintf("queue-%d", q), name, coreStep(16, time.Duration(n+1)*100*time.Millisecond))
			}
		}
	}
	c.advance(10 * time.Millisecond)
	return c
}

// BenchmarkLoadSummary measures what a summary costs the owner, once a second and under its lock.
func BenchmarkLoadSummary(b *testing.B) {
	c := largeBacklog(20, 250) // 15,000 submissions
	for b.Loop() {
		s := c.s.LoadSummary()
		_ = s.Encode()
	}
}
