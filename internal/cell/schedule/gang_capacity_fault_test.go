package schedule

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// gatheringCluster returns a cell of 60 hosts, with gang capacity on, that tasks fill for 3 s, and
// in which a gang of 20 members gathers room on the third of the hosts that is approved.
func gatheringCluster(t *testing.T) *cluster {
	testFeatures = Features{GangCapacity: true}
	t.Cleanup(func() { testFeatures = Features{} })
	c := newCluster(60, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256 * 1024})
	c.adviceTakesTime = true
	c.approves = func(g cell.GroupID, host string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(host + g.Submission))
		return h.Sum32()%3 == 0
	}
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 3, Latency: 3 * time.Second})
	c.queue(cell.Queue{Name: "wide", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: &cell.AdvicePolicy{
		Decision: 200 * time.Millisecond, PerHost: 5 * time.Millisecond, Validity: 900 * time.Millisecond,
	}})
	c.submit("before", "small", "a", cell.Step{Count: 480, Size: resource.Vector{MilliCPU: 7000, MemoryMiB: 1024}, Estimate: 3 * time.Second})
	c.advance(50 * time.Millisecond)
	c.submit("gang", "wide", "b", cell.Step{Count: 20, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1024}, Estimate: 5 * time.Second})
	c.s.SetAdviceRoom(cell.AdviceRoom{Short: 20, Long: 20, Nodes: 12, LongFrom: 150 * time.Millisecond})
	c.advance(50 * time.Millisecond)
	if n := c.callCount[cell.GroupID{Submission: "gang"}]; n != 2 {
		t.Fatalf("%d advice calls are made for the gang at one time, want 2", n)
	}
	c.s.adviceRoom = nil
	return c
}

// expectGang fails unless all members run within a time.
func (c *cluster) expectGang(t *testing.T, within time.Duration) {
	t.Helper()
	for end := c.now + within; c.now < end && c.running("gang") == 0; {
		c.advance(50 * time.Millisecond)
	}
	if n := c.running("gang"); n != 20 {
		t.Errorf("%d of 20 members run after %s: %v", n, within, c.s.Explain("gang"))
	}
	checkViolations(t, c)
}

// Guards against a gang that loses its turn for good when the owner changes with room partly
// gathered: reservations are not stored, and are planned anew.
func TestGangGathersRoomAgainAfterTakeover(t *testing.T) {
	c := gatheringCluster(t)
	c.advanceFor(time.Second)
	if c.s.group(cell.GroupID{Submission: "gang"}).promise == nil {
		t.Fatal("no room is gathered before the takeover")
	}
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	c.expectGang(t, 6*time.Second)
}

// Guards against a gang that goes on waiting for the room of a host that is lost meanwhile.
func TestGangGathersRoomThoughAHostIsLost(t *testing.T) {
	c := gatheringCluster(t)
	c.advanceFor(time.Second)
	p := c.s.group(cell.GroupID{Submission: "gang"}).promise
	if p == nil || len(p.hosts) == 0 {
		t.Fatal("no room is gathered before the host is lost")
	}
	lost := p.hosts[0].spec.ID
	c.hosts[lost].unreachable = true
	c.s.MarkUnreachable(lost)
	c.expectGang(t, 6*time.Second)
}

// Guards against a gang that never starts since its tickets expire before the room is there.
func TestGangStartsThoughItsAdviceExpires(t *testing.T) {
	c := gatheringCluster(t)
	c.advanceFor(2 * time.Second) // the tickets expire after 0.75 s
	g := c.s.group(cell.GroupID{Submission: "gang"})
	for h := range g.advice.tickets {
		if _, ok := g.ticketFor(h, c.now); ok {
			t.Fatal("a ticket is still valid")
		}
	}
	c.expectGang(t, 4*time.Second)
}

// Guards against a gang that asks no more when one of two calls at one time fails, and against
// the answer of the other one that is lost with it.
func TestOneOfTwoCallsForAGangFails(t *testing.T) {
	c := gatheringCluster(t)
	id := cell.GroupID{Submission: "gang"}
	c.s.AdviceFailed(id, c.now)
	c.calls = c.calls[1:]
	g := c.s.group(id)
	if !g.advice.inFlight {
		t.Error("no call is in flight although one has not ended")
	}
	c.advanceFor(time.Second)
	if len(g.advice.tickets) == 0 {
		t.Error("the answer of the other call is lost")
	}
	c.expectGang(t, 6*time.Second)
}
