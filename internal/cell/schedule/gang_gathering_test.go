package schedule

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// gatheringStart is when the room is free for which the gang of gatheringCluster waits.
const gatheringStart = 3 * time.Second

// afterRoom is how long after its room is free a gang of gatheringCluster starts at most: a call
// about other hosts may be in flight then, which takes 0.4 s, and the tickets have to be renewed.
const afterRoom = time.Second

// gatheringCluster returns a cell of 60 hosts, with gang capacity on, that tasks fill until
// gatheringStart, and in which a gang of 20 members waits for room on the third of the hosts that
// is approved.
func gatheringCluster(t *testing.T) (c *cluster, roomAt time.Duration) {
	t.Helper()
	clusterFeatures = Features{GangCapacity: true}
	t.Cleanup(func() { clusterFeatures = Features{} })
	c = newCluster(60, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256 * 1024})
	c.adviceTakesTime = true
	c.approves = func(g cell.GroupID, host string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(host + g.Submission))
		return h.Sum32()%3 == 0
	}
	c.teams["b"] = cell.Team{Name: "b", Weight: 1000}
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 3, Latency: 3 * time.Second})
	c.queue(cell.Queue{Name: "wide", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: &cell.AdvicePolicy{
		Decision: 200 * time.Millisecond, PerHost: 5 * time.Millisecond, Validity: 900 * time.Millisecond,
	}})
	c.submit("before", "small", "a", cell.Step{Count: 540, Size: resource.Vector{MilliCPU: 7000, MemoryMiB: 1024}, Estimate: gatheringStart})
	c.advance(10 * time.Millisecond)
	roomAt = c.now + gatheringStart
	c.submit("gang", "wide", "b", cell.Step{Count: 20, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1024}, Estimate: 5 * time.Second})
	c.advanceFor(time.Second)
	if p := c.gang().promise; p == nil || len(p.hosts) == 0 {
		t.Fatalf("no room is gathered for the gang: %v", c.s.Explain("gang"))
	}
	return c, roomAt
}

func (c *cluster) gang() *group { return c.s.group(cell.GroupID{Submission: "gang"}) }

// expectGang fails unless the gang of gatheringCluster runs at a time, and no rule was broken.
func (c *cluster) expectGang(t *testing.T, by time.Duration) {
	t.Helper()
	c.expectMembers(t, 20, by)
}

// expectMembers fails unless all members of the gang run at a time, and no rule was broken.
func (c *cluster) expectMembers(t *testing.T, members int, by time.Duration) {
	t.Helper()
	for c.now < by && c.running("gang") == 0 {
		c.advance(10 * time.Millisecond)
	}
	if n := c.running("gang"); n != members {
		t.Errorf("%d of %d members run: %v", n, members, c.s.Explain("gang"))
	}
	checkViolations(t, c)
}

// Guards against a gang that loses its turn when the owner changes while room is gathered:
// reservations and tickets are not stored, and are obtained anew.
func TestGangGathersRoomAgainAfterTakeover(t *testing.T) {
	c, roomAt := gatheringCluster(t)
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	c.expectGang(t, roomAt+afterRoom)
}

// Guards against a gang that goes on waiting for the room of a host that is lost meanwhile.
func TestGangGathersRoomThoughAHostIsLost(t *testing.T) {
	c, roomAt := gatheringCluster(t)
	lost := c.gang().promise.hosts[0].spec.ID
	c.hosts[lost].unreachable = true
	c.s.MarkUnreachable(lost)
	c.expectGang(t, roomAt+afterRoom)
	for _, r := range c.hosts[lost].runs {
		if r.task.Submission == "gang" {
			t.Error("a member runs on the host that is lost")
		}
	}
}

// Guards against a team over its limit, and against room that is kept for a gang which may not
// start, when the limit of its team is reduced while room is gathered.
func TestGangWaitsWhenTheLimitOfItsTeamIsReduced(t *testing.T) {
	c, roomAt := gatheringCluster(t)
	limit := func(cores int64) {
		c.teams["b"] = cell.Team{Name: "b", Weight: 1000, Limit: resource.Vector{MilliCPU: cores * 1000}}
		c.publish()
	}
	limit(100)
	for c.now < roomAt+time.Second {
		c.advance(50 * time.Millisecond)
	}
	if n := c.running("gang"); n != 0 {
		t.Errorf("%d members of 18 cores run under a limit of 100 cores", n)
	}
	if r := c.s.GangRoom(); r.Gathering != 0 || r.ReservedMilliCPU != 0 {
		t.Errorf("%d milli-CPU are kept for %d gangs that may not start", r.ReservedMilliCPU, r.Gathering)
	}
	limit(400)
	c.expectGang(t, c.now+afterRoom)
}

// Guards against renewals of a gang on more hosts than one call may name that always name the
// same ones, so that the tickets on the others are never renewed.
func TestRenewalsOfAVeryWideGangTakeTurns(t *testing.T) {
	clusterFeatures = Features{GangCapacity: true}
	defer func() { clusterFeatures = Features{} }()
	c := newCluster(150, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	c.adviceTakesTime = true
	c.queue(cell.Queue{Name: "wide", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: &cell.AdvicePolicy{
		Decision: 50 * time.Millisecond, PerHost: time.Millisecond, Validity: 900 * time.Millisecond,
	}})
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 3, Latency: 3 * time.Second})
	c.submit("before", "small", "a", cell.Step{Count: 150, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: 3 * time.Second, MaxPerHost: 1})
	c.advance(10 * time.Millisecond)
	roomAt := c.now + 3*time.Second
	c.submit("gang", "wide", "b", cell.Step{Count: 140, Gang: true, Size: resource.Vector{MilliCPU: 16_000, MemoryMiB: 1024}, Estimate: 5 * time.Second})
	c.advanceFor(time.Second)
	c.expectMembers(t, 140, roomAt+afterRoom)
	if n := c.callCount[c.gang().id]; n > 4 {
		t.Errorf("%d calls are made for a gang that needs two, and two renewals", n)
	}
}
