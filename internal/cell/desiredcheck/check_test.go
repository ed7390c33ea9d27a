package desiredcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// sound returns a document without findings.
func sound() *cell.DesiredDocument {
	return &cell.DesiredDocument{
		Version: 2,
		Queues: []cell.Queue{{
			Name: "r", Host: "h.example", PathPrefix: "/q/", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2,
			Latency: time.Second, Timeout: 3 * time.Second,
			Advice: &cell.AdvicePolicy{Decision: 200 * time.Millisecond, PerHost: 5 * time.Millisecond, Validity: 355 * time.Millisecond},
		}},
		Services: []cell.Service{{Name: "s"}},
		Teams:    []cell.Team{{Name: "t", Keys: []string{"secret-t"}, Weight: 1, Limit: resource.Vector{MilliCPU: 1000}}},
		Limits:   cell.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// lines returns findings as "severity kind field value".
func lines(findings []Finding) []string {
	out := []string{}
	for _, f := range findings {
		out = append(out, fmt.Sprintf("%s %s/%s %s %s", f.Severity, f.Object.Kind, f.Object.Name, f.Field, f.Value))
	}
	return out
}

// Guards against a rule that reports a sound document, that misses its fault, or that
// reports more than it.
func TestCheck(t *testing.T) {
	queue := func(d *cell.DesiredDocument) *cell.Queue { return &d.Queues[0] }
	team := func(d *cell.DesiredDocument) *cell.Team { return &d.Teams[0] }
	for _, c := range []struct {
		name   string
		change func(d *cell.DesiredDocument)
		want   []string
	}{
		{"sound", func(*cell.DesiredDocument) {}, []string{}},
		{"no version", func(d *cell.DesiredDocument) { d.Version = 0 }, []string{"error document/ version 0"}},
		{"queue without name", func(d *cell.DesiredDocument) { queue(d).Name = "" }, []string{`error queue/ name ""`}},
		{"duplicate queue", func(d *cell.DesiredDocument) {
			d.Queues = append(d.Queues, d.Queues[0])
			d.Queues[1].PathPrefix = "/other/"
		}, []string{`error queue/r name "r"`}},
		{"same host and prefix", func(d *cell.DesiredDocument) {
			d.Queues = append(d.Queues, d.Queues[0])
			d.Queues[1].Name = "r2"
		}, []string{`error queue/r2 path prefix "/q/"`}},
		{"host with port", func(d *cell.DesiredDocument) { queue(d).Host = "h:80" }, []string{`error queue/r host "h:80"`}},
		{"no host", func(d *cell.DesiredDocument) { queue(d).Host = "" }, []string{`error queue/r host ""`}},
		{"host pattern", func(d *cell.DesiredDocument) { queue(d).Host = "*.h" }, []string{`error queue/r host "*.h"`}},
		{"host in upper case", func(d *cell.DesiredDocument) { queue(d).Host = "H" }, []string{`warning queue/r host "H"`}},
		{"relative prefix", func(d *cell.DesiredDocument) { queue(d).PathPrefix = "q/" }, []string{`error queue/r path prefix "q/"`}},
		{"encoded prefix", func(d *cell.DesiredDocument) { queue(d).PathPrefix = "/%20/" }, []string{`error queue/r path prefix "/%20/"`}},
		{"prefix without end", func(d *cell.DesiredDocument) { queue(d).PathPrefix = "/q" }, []string{`warning queue/r path prefix "/q"`}},
		{"unknown service", func(d *cell.DesiredDocument) { queue(d).Service = "x" },
			[]string{`error queue/r service "x"`, `warning service/s  "s"`}},
		{"standby", func(d *cell.DesiredDocument) { d.Services[0].Standby = true }, []string{`warning queue/r service "s"`}},
		{"negative times", func(d *cell.DesiredDocument) { queue(d).Latency, queue(d).Timeout = -1, -2 },
			[]string{"error queue/r latency -1ns", "error queue/r timeout -2ns"}},
		{"bounded time", func(d *cell.DesiredDocument) { queue(d).Timeout = cell.MaxDuration }, []string{"error queue/r timeout 87600h0m0s"}},
		{"negative numbers", func(d *cell.DesiredDocument) { queue(d).Priority, queue(d).MaxAttempts, queue(d).Stretch = -1, -2, -3 },
			[]string{"error queue/r priority -1", "error queue/r max attempts -2", "error queue/r stretch -3"}},
		{"no limit of attempts", func(d *cell.DesiredDocument) { queue(d).MaxAttempts = 0 }, []string{"warning queue/r max attempts 0"}},
		{"no objective", func(d *cell.DesiredDocument) { queue(d).Stretch, queue(d).Latency = 0, 0 }, []string{"warning queue/r stretch 0"}},
		{"no advice", func(d *cell.DesiredDocument) { queue(d).Advice = nil }, []string{}},
		{"negative advice", func(d *cell.DesiredDocument) {
			*queue(d).Advice = cell.AdvicePolicy{Decision: -1, PerHost: -2, Validity: -3}
		},
			[]string{"error queue/r advice decision -1ns", "error queue/r advice per host -2ns", "error queue/r advice validity -3ns"}},
		{"tickets never valid", func(d *cell.DesiredDocument) { queue(d).Advice.Validity = 150 * time.Millisecond }, []string{"error queue/r advice validity 150ms"}},
		{"tickets shorter than a call", func(d *cell.DesiredDocument) { queue(d).Advice.Validity = 354 * time.Millisecond },
			[]string{"warning queue/r advice validity 354ms"}},
		{"duplicate service", func(d *cell.DesiredDocument) { d.Services = append(d.Services, cell.Service{Name: "s"}) }, []string{`error service/s name "s"`}},
		{"unused service", func(d *cell.DesiredDocument) { d.Services = append(d.Services, cell.Service{Name: "u"}) }, []string{`warning service/u  "u"`}},
		{"duplicate team", func(d *cell.DesiredDocument) {
			d.Teams = append(d.Teams, cell.Team{Name: "t", Keys: []string{"other-key"}, Weight: 1})
		}, []string{`error team/t name "t"`}},
		{"empty key", func(d *cell.DesiredDocument) { team(d).Keys = []string{"secret-t", ""} }, []string{`error team/t keys ""`}},
		{"repeated key", func(d *cell.DesiredDocument) { team(d).Keys = []string{"secret-t", "secret-t"} }, []string{`warning team/t keys "secr..."`}},
		{"shared key", func(d *cell.DesiredDocument) {
			d.Teams = append(d.Teams, cell.Team{Name: "u", Keys: []string{"secret-t"}, Weight: 1})
		}, []string{`error team/u keys "secr..."`}},
		{"no key", func(d *cell.DesiredDocument) { team(d).Keys = nil }, []string{`warning team/t keys ""`}},
		{"negative weight", func(d *cell.DesiredDocument) { team(d).Weight = -1 }, []string{"error team/t weight -1"}},
		{"no weight", func(d *cell.DesiredDocument) { team(d).Weight = 0 }, []string{}},
		{"no weight beside others", func(d *cell.DesiredDocument) {
			d.Teams = append(d.Teams, cell.Team{Name: "u", Keys: []string{"other-key"}})
		}, []string{"warning team/u weight 0"}},
		{"limits out of range", func(d *cell.DesiredDocument) {
			team(d).Limit = resource.Vector{MilliCPU: -1, MemoryMiB: cell.MaxTeamLimit + 1, Accelerators: cell.MaxTeamLimit}
		}, []string{"error team/t cpu limit -1", "error team/t memory limit 1000000000000001"}},
		{"limits of nodes", func(d *cell.DesiredDocument) { d.Limits = cell.Limits{} }, []string{}},
		{"negative limits", func(d *cell.DesiredDocument) {
			d.Limits = cell.Limits{HeaderBytes: -1, BodyBytes: -2, HeaderTimeout: -3, IdleTimeout: -4}
		},
			[]string{"error limits/ header bytes -1", "error limits/ body bytes -2", "error limits/ header timeout -3ns", "error limits/ idle timeout -4ns"}},
		{"body beyond the store", func(d *cell.DesiredDocument) { d.Limits.BodyBytes = 1 << 20 }, []string{"warning limits/ body bytes 1048576"}},
		{"body beyond nodes", func(d *cell.DesiredDocument) { d.Limits.BodyBytes = 1<<20 + 1 }, []string{"error limits/ body bytes 1048577"}},
		{"limits without effect", func(d *cell.DesiredDocument) {
			d.Limits.HeaderBytes, d.Limits.HeaderTimeout, d.Limits.IdleTimeout = 1, 2*time.Second, time.Second
		}, []string{"warning limits/ header bytes 1", "warning limits/ header timeout 2s", "warning limits/ idle timeout 1s"}},
	} {
		d := sound()
		c.change(d)
		findings := Check(d)
		if got := lines(findings); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		for _, f := range findings {
			if f.Accepted == "" || strings.Contains(f.Value+f.Accepted, "secret-t") {
				t.Errorf("%s: %+v lacks what is accepted or shows a key", c.name, f)
			}
		}
	}
}

// Guards against a key that is shown in full because it is short.
func TestMask(t *testing.T) {
	for key, want := range map[string]string{"": "...", "abcd": "...", "abcde": "abcd...", "éééééé": "éééé..."} {
		if got := mask(key); got != want {
			t.Errorf("%q: got %q, want %q", key, got, want)
		}
	}
}
