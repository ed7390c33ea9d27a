package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a gang member that times out alone after a takeover: the earlier owner had
// started some of the members, and one host that does not answer made its successor wait for
// the end of all leases until it stopped them; and against a gang that is stopped although its
// missing members may run on that host.
func TestIncompleteGangIsStoppedBeforeAllHostsHaveAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		// started is how many of 12 members are started; three fit on each of four hosts.
		started int
		silent  string
		stops   bool
	}{
		"more are missing than the silent host holds": {5, "h03", true},
		"the silent host may hold those missing":      {9, "h03", false},
		"all members run, some on the silent host":    {12, "h02", false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newCluster(4, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
			l.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
			l.submit("gang", "q", "a", cell.Step{Count: 12, Gang: true, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1024}, Estimate: 10 * time.Second})
			l.now += 10 * time.Millisecond
			p := l.s.Decide(l.now, l.wall())
			if len(p.Starts) != 12 {
				t.Fatalf("%d starts", len(p.Starts))
			}
			for _, o := range p.Starts[:c.started] {
				l.start(o)
				l.s.Started(o.Host, o.Task, o.Run, l.now)
			}
			l.hosts[c.silent].unreachable = true
			l.replaceOwner()
			stops := 0
			for range 5 {
				l.now += 50 * time.Millisecond
				stops += len(l.s.Decide(l.now, l.wall()).Stops)
			}
			if want := c.started; c.stops && stops != want || !c.stops && stops > 0 {
				t.Errorf("%d of %d members are stopped before the leases on the silent host have ended", stops, want)
			}
		})
	}
}
