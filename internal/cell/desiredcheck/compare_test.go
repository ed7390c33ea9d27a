package desiredcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// inForce returns the sound document with the version before.
func inForce() *cell.DesiredDocument {
	d := sound()
	d.Version--
	return d
}

// nextVersion is the first finding of a sound document after inForce.
const nextVersion = "difference document/ version 2"

// Guards against a version that nodes ignore.
func TestCompareVersion(t *testing.T) {
	for version, want := range map[int64][]string{
		0: {"error document/ version 0", "difference document/ version 0"},
		1: {"error document/ version 1"},
		2: {nextVersion},
	} {
		d := sound()
		d.Version = version
		if got := lines(Compare(d, inForce())); !slices.Equal(got, want) {
			t.Errorf("version %d: got %q, want %q", version, got, want)
		}
	}
}

// Guards against a difference that is not shown, and against a missing or needless warning
// of one that callers meet at once.
func TestCompare(t *testing.T) {
	const refusedHost, refusedPath = `warning queue/r host "other"`, `warning queue/r path prefix "/other/"`
	for _, c := range []struct {
		name   string
		change func(d *cell.DesiredDocument)
		want   []string
	}{
		{"next", func(*cell.DesiredDocument) {}, []string{}},
		{"queue added", func(d *cell.DesiredDocument) { d.Queues = append(d.Queues, cell.Queue{Name: "n"}) }, []string{`difference queue/n  "n"`}},
		{"queue removed", func(d *cell.DesiredDocument) { d.Queues = nil }, []string{`difference queue/r  "r"`, `warning queue/r  "r"`}},
		{"queue moved", func(d *cell.DesiredDocument) { d.Queues[0].Host, d.Queues[0].PathPrefix = "other", "/other/" },
			[]string{`difference queue/r host "other"`, refusedHost, `difference queue/r path prefix "/other/"`, refusedPath}},
		{"opened", func(d *cell.DesiredDocument) { d.Queues[0].WithoutKey = true }, []string{"difference queue/r without key true"}},
		{"priority raised", func(d *cell.DesiredDocument) { d.Queues[0].Priority = 0 }, []string{"difference queue/r priority 0", "warning queue/r priority 0"}},
		{"priority lowered", func(d *cell.DesiredDocument) { d.Queues[0].Priority = 2 }, []string{"difference queue/r priority 2", "warning queue/r priority 2"}},
		{"limits lowered", func(d *cell.DesiredDocument) { d.Queues[0].MaxAttempts, d.Queues[0].Timeout = 2, time.Second },
			[]string{"difference queue/r max attempts 2", "warning queue/r max attempts 2", "difference queue/r timeout 1s", "warning queue/r timeout 1s"}},
		{"limits raised or removed", func(d *cell.DesiredDocument) { d.Queues[0].MaxAttempts, d.Queues[0].Timeout = 0, 4*time.Second },
			[]string{"difference queue/r max attempts 0", "difference queue/r timeout 4s"}},
		{"objective, service", func(d *cell.DesiredDocument) {
			d.Queues[0].Service, d.Queues[0].Stretch, d.Queues[0].Latency = "x", 3, time.Minute
		}, []string{`difference queue/r service "x"`, "difference queue/r stretch 3", "difference queue/r latency 1m0s"}},
		{"advice removed", func(d *cell.DesiredDocument) { d.Queues[0].Advice = nil }, []string{"difference queue/r advice false",
			"difference queue/r advice decision 0s", "difference queue/r advice per host 0s", "difference queue/r advice validity 0s"}},
		{"service changed and added", func(d *cell.DesiredDocument) {
			d.Services = []cell.Service{{Name: "s", Standby: true, EnforcesCapacity: true}, {Name: "n"}}
		}, []string{"difference service/s enforces capacity true", "difference service/s standby true", `difference service/n  "n"`}},
		{"service removed", func(d *cell.DesiredDocument) { d.Services = nil }, []string{`difference service/s  "s"`}},
		{"team removed", func(d *cell.DesiredDocument) { d.Teams = nil }, []string{`difference team/t  "t"`, `warning team/t  "t"`}},
		{"key replaced", func(d *cell.DesiredDocument) { d.Teams[0].Keys = []string{"replaced-t"} },
			[]string{`difference team/t keys "repl..."`, `difference team/t keys "secr..."`, `warning team/t keys "secr..."`}},
		{"weight lowered", func(d *cell.DesiredDocument) { d.Teams[0].Weight = 0.5 }, []string{"difference team/t weight 0.5", "warning team/t weight 0.5"}},
		{"team limits", func(d *cell.DesiredDocument) { d.Teams[0].Limit = resource.Vector{MilliCPU: 999, MemoryMiB: 1} },
			[]string{"difference team/t cpu limit 999", "warning team/t cpu limit 999", "difference team/t memory limit 1", "warning team/t memory limit 1"}},
		{"body limit lowered", func(d *cell.DesiredDocument) { d.Limits.BodyBytes = 1 }, []string{"difference limits/ body bytes 1", "warning limits/ body bytes 1"}},
		{"body limit by default", func(d *cell.DesiredDocument) { d.Limits.BodyBytes = 0 }, []string{}},
		{"limits of connections", func(d *cell.DesiredDocument) {
			d.Limits.HeaderBytes, d.Limits.HeaderTimeout, d.Limits.IdleTimeout = 1, 2, 3
		}, []string{"difference limits/ header bytes 1", "difference limits/ header timeout 2ns", "difference limits/ idle timeout 3ns"}},
	} {
		d := sound()
		c.change(d)
		findings := Compare(d, inForce())
		if got := lines(findings); got[0] != nextVersion || !slices.Equal(got[1:], c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		for _, f := range findings {
			if strings.Contains(f.Value+f.Accepted, "ret-t") || strings.Contains(f.Value+f.Accepted, "replaced-t") {
				t.Errorf("%s: %+v shows a key", c.name, f)
			}
		}
	}
}

// Guards against a closed queue without a warning: calls without a key are refused at once.
func TestCompareClosedQueue(t *testing.T) {
	open := inForce()
	open.Queues[0].WithoutKey = true
	want := []string{nextVersion, "difference queue/r without key false", "warning queue/r without key false"}
	if got := lines(Compare(sound(), open)); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a comparison that reports an object more than once, or panics, if names
// are not unique.
func TestCompareDuplicates(t *testing.T) {
	twice, former, without := sound(), inForce(), sound()
	twice.Teams = append(twice.Teams, twice.Teams[0])
	former.Teams = twice.Teams
	without.Teams = nil
	if got, want := lines(Compare(without, former)), []string{nextVersion, `difference team/t  "t"`, `warning team/t  "t"`}; !slices.Equal(got, want) {
		t.Errorf("removed: got %q, want %q", got, want)
	}
	if got, want := lines(Compare(twice, inForce())), []string{nextVersion}; !slices.Equal(got, want) {
		t.Errorf("repeated: got %q, want %q", got, want)
	}
}
