package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// reservedCluster returns a cell of four hosts that a gang has reserved for half a minute.
// Tasks of 11 cores each run on some of the hosts meanwhile.
func reservedCluster(t *testing.T, busyHosts int) *cluster {
	c := newCluster(4, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 20, Latency: time.Second})
	step := func(count int, cores int64) cell.Step {
		return cell.Step{Count: count, Size: resource.Vector{MilliCPU: cores * 1000, MemoryMiB: 1024}, Estimate: 30 * time.Second}
	}
	c.submit("busy", "urgent", "a", step(busyHosts, 11))
	c.advance(time.Second)
	gang := step(4, 15)
	gang.Gang = true
	c.submit("gang", "urgent", "a", gang)
	c.advance(time.Second)
	if h := c.s.hosts["h03"]; h.reserved.MilliCPU == 0 {
		t.Fatal("the gang has reserved nothing on the last host")
	}
	return c
}

func (c *cluster) advanceFor(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.advance(100 * time.Millisecond)
	}
}

// Guards against long-running tasks that wait, with room for them, while gangs reserve it.
func TestLongRunningTasksStartOnReservedRoom(t *testing.T) {
	c := reservedCluster(t, 3)
	c.submit("serving", "q", "b", cell.Step{Count: 2, LongRunning: true, Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 1024}, Estimate: time.Minute})
	c.advanceFor(2 * time.Second)
	if n := c.running("serving"); n != 2 {
		t.Errorf("%d long-running tasks run after 2 s, want 2: %v", n, c.s.Explain("serving"))
	}
	checkViolations(t, c)
}

// Guards against a submission that waits, with nothing of it running, while gangs reserve
// most of an idle cell in which no work arrives any more, and against gangs that lose more
// of their room to it than for one task, or any while the cell is busy or work arrives.
func TestReservationsDelayNoSubmissionInAnIdleCell(t *testing.T) {
	for busyHosts, want := range map[int]int{1: 1, 3: 0} {
		c := reservedCluster(t, busyHosts)
		c.submit("small", "q", "b", cell.Step{Count: 3, Size: resource.Vector{MilliCPU: 1500, MemoryMiB: 1024}, Estimate: time.Minute})
		c.advanceFor(quietPeriod - 100*time.Millisecond)
		if n := c.running("small"); n != 0 {
			t.Errorf("%d busy hosts of 4: %d tasks run on reserved room while work arrives", busyHosts, n)
		}
		c.advanceFor(200 * time.Millisecond)
		if n := c.running("small"); n != want {
			t.Errorf("%d busy hosts of 4: %d tasks run once no work has arrived for long, want %d: %v", busyHosts, n, want, c.s.Explain("small"))
		}
		checkViolations(t, c)
	}
}

// Guards against a gang that waits, with nothing of its submission running in an idle
// cell, while the limit of its team is kept for another gang that waits for room, though
// less than half of the limit is in use.
func TestLimitKeptForAGangDelaysNoOtherInAnIdleCell(t *testing.T) {
	c := reservedCluster(t, 1)
	c.teams["a"] = cell.Team{Name: "a", Weight: 100, Limit: resource.Vector{MilliCPU: 75000}}
	c.publish()
	c.submit("other", "q", "a", cell.Step{Count: 4, Gang: true, Size: resource.Vector{MilliCPU: 2000, MemoryMiB: 1024}, Estimate: time.Minute})
	c.advanceFor(quietPeriod - 100*time.Millisecond)
	if n := c.running("other"); n != 0 {
		t.Errorf("%d members run on what is kept for a gang while work arrives", n)
	}
	c.advanceFor(200 * time.Millisecond)
	if n := c.running("other"); n != 4 {
		t.Errorf("%d of 4 members run once no work has arrived for long: %v", n, c.s.Explain("other"))
	}
	checkViolations(t, c)
}

// Guards against a gang that waits behind others for the hosts that are approved for it,
// and asks about no others, though these are idle.
func TestGangBehindOthersAsksAboutIdleHosts(t *testing.T) {
	c := newCluster(20, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 20, Latency: time.Second})
	step := func(count int, milliCPU int64) cell.Step {
		return cell.Step{Count: count, Size: resource.Vector{MilliCPU: milliCPU, MemoryMiB: 1024}, Estimate: 30 * time.Second}
	}
	c.submit("busy", "urgent", "a", step(4, 11000)) // h00 to h03
	c.advance(time.Second)
	for i := range minReservingGangs {
		gang := step(1, 15000)
		gang.Gang, gang.Label = true, "r1-0" // h00 to h02
		c.submit(fmt.Sprintf("ahead%d", i), "urgent", "a", gang)
	}
	gang := step(6, 4500)
	gang.Gang = true
	c.submit("gang", "q", "b", gang)
	tickets := map[string]string{"h00": "t", "h01": "t", "h02": "t", "h03": "t"}
	c.s.AdviceReceived(cell.GroupID{Submission: "gang"}, []string{"h00", "h01", "h02", "h03"}, tickets, c.now)
	c.advanceFor(quietPeriod + time.Second)
	if n := c.running("gang"); n != 6 {
		t.Errorf("%d of 6 members run on 16 idle hosts: %v", n, c.s.Explain("gang"))
	}
	checkViolations(t, c)
}
