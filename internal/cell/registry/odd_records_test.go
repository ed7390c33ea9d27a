package registry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a damaged record, or one of another writer, that is taken for the state
// of an owner, a host or a submission, or that keeps later records from being applied.
func TestOddRecordsAreIgnored(t *testing.T) {
	steps := func(text string) string { return `{"id":"odd","team":"t","queue":{"name":"q"},"steps":` + text + `}` }
	for name, r := range map[string]struct{ key, value string }{
		"owner, null":                           {"o", `null`},
		"owner, a list":                         {"o", `[]`},
		"owner, token 0":                        {"o", `{"node":"n","boot":"b","token":0}`},
		"owner, negative token":                 {"o", `{"node":"n","boot":"b","token":-1}`},
		"owner, largest integer as the token":   {"o", `{"node":"n","boot":"b","token":9223372036854775807}`},
		"owner, token of 2^53":                  {"o", `{"node":"n","boot":"b","token":9007199254740992}`},
		"owner, token that overflows":           {"o", `{"node":"n","boot":"b","token":9223372036854775808}`},
		"owner, fraction":                       {"o", `{"node":"n","boot":"b","token":8.5}`},
		"owner, no node":                        {"o", `{"boot":"b","token":8}`},
		"owner, no instance":                    {"o", `{"node":"n","token":8}`},
		"owner, empty":                          {"o", ``},
		"host, null":                            {"h/odd", `null`},
		"host, another ID":                      {"h/odd", `{"spec":{"id":"h1","address":"10.0.0.1:1"}}`},
		"host, no ID":                           {"h/odd", `{"spec":{"address":"10.0.0.1:1"}}`},
		"host, runs as an object":               {"h/odd", `{"spec":{"id":"odd"},"closed":true,"runs":{}}`},
		"submission, null":                      {"s/odd", `null`},
		"submission, another ID":                {"s/odd", `{"id":"s1","team":"t","queue":{"name":"q"},"steps":[{"count":1}]}`},
		"submission, no steps":                  {"s/odd", steps(`[]`)},
		"submission, 1e18 tasks":                {"s/odd", steps(`[{"count":1000000000000000000}]`)},
		"submission, too many tasks in all":     {"s/odd", steps(`[{"count":100000},{"count":1}]`)},
		"submission, negative count":            {"s/odd", steps(`[{"count":-1}]`)},
		"submission, a step after itself":       {"s/odd", steps(`[{"count":1,"after":[0]}]`)},
		"submission, after a missing step":      {"s/odd", steps(`[{"count":1},{"count":1,"after":[7]}]`)},
		"submission, after a negative step":     {"s/odd", steps(`[{"count":1},{"count":1,"after":[-1]}]`)},
		"submission, negative size":             {"s/odd", steps(`[{"count":1,"size":{"milli_cpu":-1}}]`)},
		"submission, negative occurrences":      {"s/odd", `{"id":"odd","team":"t","queue":{"name":"q"},"steps":[{"count":1}],"occurrences":-1}`},
		"submission, 1e18 occurrences":          {"s/odd", `{"id":"odd","team":"t","queue":{"name":"q"},"steps":[{"count":1}],"occurrences":1000000000000000000}`},
		"submission, occurrences times tasks":   {"s/odd", `{"id":"odd","team":"t","queue":{"name":"q"},"steps":[{"count":1000}],"occurrences":1000}`},
		"submission, million levels of lists":   {"s/odd", strings.Repeat("[", 1_000_000)},
		"submission, 9,000 levels, unknown":     {"s/odd", `{"x":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`},
		"submission, truncated":                 {"s/odd", `{"id":"odd","steps":[{"cou`},
		"submission, invalid UTF-8":             {"s/odd", "{\"id\":\"\xff\"}"},
		"progress, unknown state":               {"p/s1", `{"state":5}`},
		"progress, state of two bytes":          {"p/s1", `{"state":300}`},
		"progress, done tasks as a number":      {"p/s1", `{"state":1,"groups":{"s1.0.0":{"done":1}}}`},
		"progress, null":                        {"p/s1", `null`},
		"cancellation, another value":           {"c/s1", `{}`},
		"cancellation, false":                   {"c/s1", `false`},
		"cancellation, bytes":                   {"c/s1", "\xff\x00"},
		"no key":                                {"", `{}`},
		"unknown key of 255 bytes":              {strings.Repeat("k", 255), `{}`},
		"only the prefix of a submission's key": {"s/", `{"id":"","team":"t","queue":{"name":"q"},"steps":[{"count":1}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			reg := New(slog.New(slog.DiscardHandler))
			apply := func(offset uint64, rec platform.Record) {
				rec.Offset = offset
				reg.Apply(rec)
			}
			apply(1, OwnershipRecord(Ownership{Node: "n", InstanceID: "b", Token: 7}))
			apply(2, SubmissionRecord(&cell.Submission{ID: "s1", Team: "t", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 2}}}))
			apply(3, ProgressRecord("s1", cell.Progress{State: cell.Active}))
			apply(4, HostRecord(Host{Spec: cell.Host{ID: "h1", Address: "10.0.0.1:1"}}))
			before := state(reg)
			apply(5, platform.Record{Key: r.key, Value: []byte(r.value)})
			if d := cmp.Diff(before, state(reg), cmpopts.IgnoreUnexported(Entry{})); d != "" {
				t.Errorf("the state has changed: %s", d)
			}
			apply(6, ProgressRecord("s1", cell.Progress{State: cell.Completed}))
			if e, ok := reg.Find("s1"); !ok || e.State() != cell.Completed {
				t.Errorf("a later record is not applied: %v", e)
			}
		})
	}
}

// Guards against amounts and durations in a stored record that overflow the sums of the
// scheduler, and against work that was accepted and is lost since one of them is too
// large.
func TestOddAmountsInRecordsAreBounded(t *testing.T) {
	reg := New(slog.New(slog.DiscardHandler))
	reg.Apply(platform.Record{Key: "s/x", Offset: 1, Value: []byte(`{"id":"x","team":"t","queue":{"name":"q","latency":9223372036854775807},` +
		`"first_due":-5,"interval":9223372036854775807,"steps":[{"count":1,"size":{"milli_cpu":9223372036854775807},"estimate":9223372036854775807}]}`)})
	e, ok := reg.Find("x")
	if !ok {
		t.Fatal("the submission is lost")
	}
	step := e.Submission.Steps[0]
	if step.Size.MilliCPU != cell.MaxAmount || step.Estimate != cell.MaxDuration || e.Submission.Interval != cell.MaxDuration || e.Submission.Queue.Latency != cell.MaxDuration {
		t.Errorf("submission %+v", e.Submission)
	}
	reg.Apply(platform.Record{Key: "h/x", Offset: 2, Value: []byte(`{"spec":{"id":"x","address":"10.0.0.1:1","capacity":{"milli_cpu":9223372036854775807,"memory_mib":-1}}}`)})
	if got, want := reg.Hosts()["x"].Spec.Capacity, (resource.Vector{MilliCPU: cell.MaxAmount}); got != want {
		t.Errorf("capacity %v, want %v", got, want)
	}
}

// Guards against bytes in the work topic that end the process, and against submissions
// that the scheduler cannot hold.
func FuzzApply(f *testing.F) {
	f.Add("o", []byte(`{"node":"n","boot":"b","token":9223372036854775807}`))
	f.Add("s/x", []byte(`{"id":"x","steps":[{"count":1,"after":[7]}],"occurrences":5}`))
	f.Add("p/x", []byte(`{"state":9,"groups":{"x.0.0":{"done":"/w==","failures":{"-1":[1]}}}}`))
	f.Add("h/x", []byte(`{"spec":{"id":"x"},"runs":[{"task":{"Index":-1}}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		reg := New(slog.New(slog.DiscardHandler))
		reg.Apply(platform.Record{Key: key, Value: bytes.Clone(value)})
		for _, e := range reg.All() {
			if err := e.Submission.Check(); err != nil {
				t.Errorf("submission %+v: %v", e.Submission, err)
			}
			_ = e.State().String()
		}
	})
}

// Guards against a log that fills, since another writer repeats an odd record.
func TestOddRecordIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	reg := New(slog.New(slog.NewTextHandler(&out, nil)))
	for i := range 100 {
		reg.Apply(platform.Record{Key: "s/odd", Value: []byte("{"), Offset: uint64(i)})
		reg.Apply(platform.Record{Key: "unknown", Value: []byte("{"), Offset: uint64(i)})
	}
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("%d lines, want 2", n)
	}
}
