package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a gang whose refused member starts in a zone that has been evacuated
// meanwhile, and against one that waits for it until its other members time out.
func TestRefusedMemberStartsOutsideOfAnEvacuatedZone(t *testing.T) {
	for _, c := range []struct {
		name string
		gang cell.Step
		room bool
	}{
		{"with room elsewhere", cell.Step{Count: 4, Size: resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true}, true},
		{"without", cell.Step{Count: 6, Size: resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := evacuationCluster()
			l.submit("gang", "q", "a", c.gang)
			l.now += 10 * time.Millisecond
			p := l.s.Decide(l.now, l.wall())
			if len(p.Starts) != c.gang.Count {
				t.Fatalf("%d starts", len(p.Starts))
			}
			refused := p.Starts[0]
			for _, o := range p.Starts[1:] {
				l.start(o)
				l.s.Started(o.Host, o.Task, o.Run, l.now)
			}
			l.evacuated = cell.NewEvacuatedZones(l.hosts[refused.Host].spec.Zone) // before the order was sent
			l.s.Refused(refused.Host, refused.Task, refused.Run, RefusedOther, l.now)
			l.decide(nil)
			if want := c.gang.Count - 1; c.room && l.running("gang") != want+1 || !c.room && l.running("gang") != want {
				t.Errorf("%d members run", l.running("gang"))
			}
			for range 25 { // less than the time-out of the gang
				l.advance(100 * time.Millisecond)
			}
			if got := l.running("gang"); got != 0 && got != c.gang.Count {
				t.Errorf("%d members wait for the others: %v", got, l.s.Explain("gang"))
			}
			l.evacuated = nil
			if !l.stepUntilFinished(300, 100*time.Millisecond) {
				t.Errorf("the gang does not end: %v", l.s.Explain("gang"))
			}
			l.reportViolations(t)
		})
	}
}

// Guards against a gang that goes on waiting for room that it was promised, or for what it
// may not use, once the zones are back that it needs; while other work arrives.
func TestGangStartsOnceItsZonesAreBack(t *testing.T) {
	c := evacuationCluster()
	c.adviceTakesTime = true
	c.evacuated = cell.NewEvacuatedZones("z0", "z1")
	gang := fullHost(5, time.Second)
	gang.Gang = true
	narrow := fullHost(2, time.Second)
	narrow.Gang = true
	c.submit("gang", "advised", "a", gang)
	for i := range 60 {
		if i%5 == 0 {
			c.submit(fmt.Sprintf("narrow%d", i), "advised", "a", narrow)
			c.submit(fmt.Sprintf("single%d", i), "q", "b", fullHost(1, 300*time.Millisecond))
		}
		c.advance(50 * time.Millisecond)
	}
	if got := c.running("gang"); got != 0 {
		t.Fatalf("%d members run in one zone", got)
	}
	c.evacuated = nil
	if took, ok := c.waitForStart("gang", 3*time.Second); !ok {
		t.Errorf("the gang has not started after %s: %v", took, c.s.Explain("gang"))
	}
	if !c.stepUntilFinished(300, 100*time.Millisecond) {
		t.Error("work stays waiting")
	}
	c.reportViolations(t)
}

// Guards against starts, those of refused members included, while it is not known which
// zones are evacuated; and against decisions that plan them again and again.
func TestHeldStarts(t *testing.T) {
	c := evacuationCluster()
	gang := fullHost(3, time.Second)
	gang.Gang = true
	c.submit("gang", "q", "a", gang)
	c.now += 10 * time.Millisecond
	first := true
	c.decide(func(Start) int {
		if first {
			first = false
			return 3
		}
		return 0
	})
	c.s.HoldStarts(true)
	c.submit("single", "q", "a", fullHost(1, time.Second))
	for range 20 {
		c.now += 100 * time.Millisecond
		c.endDueRuns()
		c.pollHosts()
		c.decide(func(o Start) int {
			t.Errorf("%s starts", o.Task)
			return 0
		})
	}
	if got := c.running("gang"); got != 0 {
		t.Errorf("%d members of an incomplete gang wait on", got)
	}
	if text := strings.Join(c.s.Explain("single"), "\n"); !strings.Contains(text, "until the evacuated zones have been read again") {
		t.Errorf("the wait is explained as %q", text)
	}
	c.s.HoldStarts(false)
	if !c.stepUntilFinished(100, 100*time.Millisecond) {
		t.Error("work stays waiting")
	}
}
