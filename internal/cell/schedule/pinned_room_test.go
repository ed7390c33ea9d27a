package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// pinnedCluster returns a gatheringCluster in which the gang has its room and waits for new
// tickets: the former ones have expired, and a call about further hosts is not answered.
func pinnedCluster(t *testing.T) *cluster {
	t.Helper()
	c, roomAt := gatheringCluster(t)
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 2, Latency: time.Second})
	c.advanceFor(roomAt - c.now - 100*time.Millisecond)
	c.calls = nil
	g := c.gang()
	g.advice.inFlight = true
	for h, ticket := range g.advice.tickets {
		ticket.expires = c.now
		g.advice.tickets[h] = ticket
	}
	for c.now < roomAt+afterRoom && g.pinned == nil {
		c.advance(10 * time.Millisecond)
	}
	if g.pinned == nil {
		t.Fatalf("no room is pinned: %v", c.s.Explain("gang"))
	}
	return c
}

// fill submits as much urgent work as the cell holds.
func (c *cluster) fill() {
	c.submit("urgent", "urgent", "a", cell.Step{Count: 480, Size: resource.Vector{MilliCPU: 8000, MemoryMiB: 1024}, Estimate: 4 * time.Second})
}

// Guards against a gang that has gathered its room and loses it to urgent work while it waits for
// new tickets.
func TestUrgentWorkLeavesPinnedRoom(t *testing.T) {
	c := pinnedCluster(t)
	c.fill()
	c.expectGang(t, c.now+afterRoom)
	if c.gang().pinned != nil || len(c.s.pinnedGangs) != 0 {
		t.Error("the room of a gang that runs is still pinned")
	}
	if n := c.running("urgent"); n < 400 {
		t.Errorf("%d urgent tasks run beside the gang on 60 hosts", n)
	}
}

// Guards against room that stays pinned for a gang that cannot start: its advice call fails, one
// of its hosts is lost, or it is cancelled.
func TestPinnedRoomIsGivenUp(t *testing.T) {
	for name, fail := range map[string]func(c *cluster){
		"the call fails": func(c *cluster) {
			c.calls = nil
			c.s.AdviceFailed(c.gang().id, c.now)
		},
		"the call is not answered": func(c *cluster) { c.calls = nil },
		"a host is lost": func(c *cluster) {
			lost := c.gang().pinned.hosts[0].spec.ID
			c.hosts[lost].unreachable = true
			c.s.MarkUnreachable(lost)
		},
		"it is cancelled": func(c *cluster) { c.s.Cancel("gang", c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := pinnedCluster(t)
			until := c.gang().pinned.until
			fail(c)
			c.fill()
			for c.now < until+100*time.Millisecond {
				c.advance(10 * time.Millisecond)
			}
			if g := c.gang(); g != nil && g.pinned != nil && g.pinned.until <= until {
				t.Error("the room is still pinned")
			}
			if name == "it is cancelled" && c.s.GangRoom().Pinned != 0 {
				t.Error("room is pinned for a gang that was cancelled")
			}
			checkViolations(t, c)
		})
	}
}

// Guards against gangs that pin most of the cell.
func TestPinnedRoomIsBounded(t *testing.T) {
	c := pinnedCluster(t)
	for i := range 10 {
		c.submit("other"+string(rune('0'+i)), "wide", "b", cell.Step{Count: 20, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1024}, Estimate: 5 * time.Second})
	}
	for range 200 {
		c.advance(10 * time.Millisecond)
		if n, most := c.s.pinnedHosts(), len(c.s.sortedHosts)/pinnedHostsDivisor; n > most {
			t.Fatalf("room is pinned on %d hosts, want %d at most", n, most)
		}
	}
	checkViolations(t, c)
}

// Guards against a gang that waits for a long call about further hosts before it may renew its
// tickets, although it has its room.
func TestTicketsAreRenewedBesideAnotherCall(t *testing.T) {
	c := pinnedCluster(t)
	if g := c.gang(); !g.advice.inFlight || !g.advice.renewing {
		t.Errorf("in flight: a call about further hosts %t, the renewal %t", g.advice.inFlight, g.advice.renewing)
	}
	c.expectGang(t, c.now+afterRoom)
}
