package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/settings"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// backend is a gateway.Backend with fixed answers. It implements the methods that
// the commands need; the others are not called.
type backend struct {
	gateway.Backend
	err     error
	state   gateway.JobStatus
	objects []objects.Object
	pub     gateway.Publication
	results []gateway.BatchResult
}

func (b *backend) Authenticate(context.Context, string) (string, error) { return "atelier", nil }
func (b *backend) Submit(context.Context, gateway.Caller, gateway.JobSpec, bool) (gateway.JobStatus, error) {
	return b.state, b.err
}
func (b *backend) SubmitBatch(context.Context, gateway.Caller, []gateway.JobSpec) ([]gateway.BatchResult, error) {
	return b.results, b.err
}
func (b *backend) Status(context.Context, gateway.Caller, string) (gateway.JobStatus, error) {
	return b.state, b.err
}
func (b *backend) Cancel(context.Context, gateway.Caller, string) (gateway.JobStatus, error) {
	return b.state, b.err
}
func (b *backend) Explain(context.Context, gateway.Caller, string) (gateway.Explanation, error) {
	return gateway.Explanation{State: "waiting", Reasons: []gateway.Reason{{Code: "team-limit", Tasks: 2}}}, b.err
}
func (b *backend) Watch(_ context.Context, _ gateway.Caller, _ string, _ uint64, emit func(gateway.JobEvent) error) error {
	return errors.Join(b.err, emit(gateway.JobEvent{State: "succeeded", End: true}))
}
func (b *backend) Publish(_ context.Context, p gateway.Publication) (gateway.PublishResult, error) {
	b.pub = p
	return gateway.PublishResult{Revision: 8}, b.err
}
func (b *backend) Objects(context.Context, gateway.ObjectQuery) (gateway.ObjectList, error) {
	return gateway.ObjectList{Revision: 7, Objects: b.objects}, nil
}
func (b *backend) Diff(context.Context, uint64, uint64) (gateway.RevisionDiff, error) {
	return gateway.RevisionDiff{}, b.err
}
func (b *backend) RevisionStatus(_ context.Context, r uint64) (gateway.RevisionStatus, error) {
	return gateway.RevisionStatus{Revision: r, Members: 8, InForce: 8}, nil
}
func (b *backend) Dump(context.Context) (any, error) { return map[string]int{"shards": 2}, b.err }
func (b *backend) Drain(context.Context) error       { return b.err }

// run runs one command against a gateway with backend b, with -o json if asJSON.
func run(t *testing.T, b *backend, asJSON bool, args ...string) (code int, out, errOut string) {
	t.Helper()
	upstreams := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(verdict.Header, verdict.DidRun.String())
		if strings.HasSuffix(r.URL.Path, "/fail") {
			w.WriteHeader(500)
		}
	})
	s, err := gateway.New(gateway.Config{OperatorToken: "op", MaxJobBytes: 1 << 16, MaxBatchBytes: 1 << 16, MaxPublicationBytes: 1 << 20,
		MaxBatchJobs: 10, MaxWatches: 10, Upstreams: upstreams}, b)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s)
	defer server.Close()
	args = append(args, "--entry", server.URL, "--key", "op")
	if asJSON {
		args = append(args, "-o", "json")
	}
	var o, e bytes.Buffer
	code = Run(context.Background(), args, Streams{strings.NewReader("[[job]]\nid='a'\nteam='t'\nqueue='q'\nsize={milli_cpu=1}\n"), &o, &e}, Handlers{
		Serve: func(context.Context, settings.Settings) error { return nil },
		Dev:   func(context.Context, DevOptions) error { return errors.New("broken") },
	})
	return code, o.String(), e.String()
}

func baseObjects(t *testing.T) []objects.Object {
	t.Helper()
	set, err := applyFiles(nil, []string{"../../examples/broken/base"})
	if err != nil {
		t.Fatal(err)
	}
	return set.Objects()
}

// Guards against a change of the exit codes that scripts rely on, and against
// output that is not JSON under -o json.
func TestExitCodes(t *testing.T) {
	failed := func(v verdict.Verdict, code string) *backend { return &backend{err: verdict.New(v, code, "x")} }
	ended := func(v verdict.Verdict, tasks map[string]int32) *backend {
		return &backend{state: gateway.JobStatus{State: gateway.StateEnded, Execution: v, Tasks: tasks}}
	}
	submit := []string{"submit", "--team", "t", "--queue", "q", "run"}
	wait := append(submit, "--wait")
	base := &backend{objects: baseObjects(t)}
	conflict := &backend{objects: base.objects, err: verdict.Wrap(&gateway.Conflict{Revision: 9}, verdict.DidNotRun, gateway.CodeConflict)}
	for _, c := range []struct {
		name    string
		backend *backend
		code    int
		args    []string
	}{
		{"submit", &backend{}, ExitOK, submit},
		{"submit refused", failed(verdict.DidNotRun, gateway.CodeInfeasible), ExitRefused, submit},
		{"submit at the limit", failed(verdict.DidNotRun, gateway.CodeTeamLimit), ExitUnavailable, submit},
		{"submit in an outage", failed(verdict.DidNotRun, gateway.CodeLogUnavailable), ExitUnavailable, submit},
		{"submit without an end", failed(verdict.MayHaveRun, gateway.CodeDeadline), ExitMayHaveRun, submit},
		{"submit and succeed", ended(verdict.DidRun, map[string]int32{"succeeded": 2}), ExitOK, wait},
		{"submit and fail", ended(verdict.DidRun, map[string]int32{"succeeded": 1, "failed": 1}), ExitWorkFailed, wait},
		{"submit and lose", ended(verdict.MayHaveRun, map[string]int32{"lost": 1}), ExitMayHaveRun, wait},
		{"submit a file", &backend{results: []gateway.BatchResult{{ID: "a", Verdict: verdict.DidRun}}}, ExitOK, []string{"submit", "-f", "-"}},
		{"submit a refused file", &backend{results: []gateway.BatchResult{gateway.FailedBatchResult("a", verdict.New(verdict.DidNotRun, "x", "x"))}}, ExitRefused, []string{"submit", "-f", "-"}},
		{"status", &backend{}, ExitOK, []string{"status", "j"}},
		{"status of nothing", failed(verdict.DidNotRun, gateway.CodeNotFound), ExitRefused, []string{"status", "j"}},
		{"cancel", &backend{}, ExitOK, []string{"cancel", "j"}},
		{"explain", &backend{}, ExitOK, []string{"explain", "j"}},
		{"watch", &backend{}, ExitOK, []string{"watch", "j"}},
		{"request", &backend{}, ExitOK, []string{"request", "render", "/ok"}},
		{"failed request", &backend{}, ExitWorkFailed, []string{"request", "render", "/fail", "-X", "POST"}},
		{"get", base, ExitOK, []string{"get", "team"}},
		{"apply", base, ExitOK, []string{"apply", "--wait", "--prune", "../../examples/hawkrest"}},
		{"apply nothing", base, ExitOK, []string{"apply", "../../examples/broken/base"}},
		{"apply a fault", base, ExitRefused, []string{"apply", "../../examples/broken/unit-cycle.toml"}},
		{"apply in conflict", conflict, ExitConflict, []string{"apply", "../../examples/hawkrest"}},
		{"diff", base, ExitOK, []string{"diff", "../../examples/hawkrest"}},
		{"diff of revisions", base, ExitOK, []string{"diff", "--from", "1", "--to", "2"}},
		{"diff of nothing", base, ExitUsage, []string{"diff"}},
		{"withdraw what is referred to", base, ExitRefused, []string{"withdraw", "limit/atelier"}},
		{"withdraw", base, ExitOK, []string{"withdraw", "queue/main", "upstream/render"}},
		{"withdraw a misspelt kind", base, ExitUsage, []string{"withdraw", "quue/main"}},
		{"dump", &backend{}, ExitOK, []string{"dump"}},
		{"drain", &backend{}, ExitOK, []string{"drain"}},
		{"drain of two", &backend{}, ExitUsage, []string{"drain", "--entry", "http://127.0.0.1:1"}},
		{"check", &backend{}, ExitOK, []string{"check", "../../examples/grantveji"}},
		{"check a fault", &backend{}, ExitRefused, []string{"check", "--base", "../../examples/broken/base", "../../examples/broken/unit-both.toml"}},
		{"settings", &backend{}, ExitOK, []string{"settings"}},
		{"refused settings", &backend{}, ExitRefused, []string{"serve", "-c", "../../examples/hawkrest/units.toml"}},
		{"serve", &backend{}, ExitOK, []string{"serve", "-c", "../../examples/hawkrest/settings.toml"}},
		{"dev", &backend{}, ExitFailed, []string{"dev"}},
		{"load", &backend{}, ExitOK, []string{"load", "--rate", "200", "--duration", "100ms", "--queue", "q", "--team", "t", "--upstream", "render"}},
		{"load of nothing", &backend{}, ExitUsage, []string{"load"}},
		{"no command", &backend{}, ExitUsage, []string{"fly"}},
		{"unknown flag", &backend{}, ExitUsage, []string{"dump", "--colour"}},
	} {
		code, _, errOut := run(t, c.backend, false, c.args...)
		if code != c.code || (code != ExitOK) != (errOut != "") && c.code != ExitWorkFailed && c.code != ExitMayHaveRun && c.code != ExitRefused && c.args[0] != "request" {
			t.Errorf("%s: exit code %d, want %d; error output %q", c.name, code, c.code, errOut)
		}
		code, out, _ := run(t, c.backend, true, c.args...)
		if out != "" && !json.Valid([]byte(out)) {
			t.Errorf("%s: output is not JSON: %s", c.name, out)
		}
		if code != c.code || (out == "" && c.args[0] != "serve") {
			t.Errorf("%s as JSON: exit code %d, output %q", c.name, code, out)
		}
	}
}

// Guards against a publication whose base revision is not the one that the files
// were compared with, or that repeats unchanged objects.
func TestApplyPublishesTheDifference(t *testing.T) {
	b := &backend{objects: baseObjects(t)}
	file := filepath.Join(t.TempDir(), "o.toml")
	content := "[[limit]]\nname='atelier'\namount='120 slots'\n[[limit]]\nname='more'\namount='3 slots'\n[[withdraw]]\nkind='queue'\nname='main'\n"
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := run(t, b, false, "apply", file); code != ExitOK {
		t.Fatal(errOut)
	}
	var got []string
	for _, c := range b.pub.Changes {
		got = append(got, c.Ref().String())
	}
	if b.pub.BaseRevision != 7 || strings.Join(got, " ") != "limit/more queue/main" || !b.pub.Changes[1].Withdrawn || b.pub.ID == "" {
		t.Errorf("publication is %+v", b.pub)
	}
}

// Guards against --version, --help or shell completion that fails or prints
// nothing.
func TestKingpinOutput(t *testing.T) {
	for _, args := range [][]string{{"--version"}, {"--help"}, {"--completion-script-bash"}, {"--completion-bash", "a"}} {
		var out, errOut bytes.Buffer
		code := Run(context.Background(), args, Streams{strings.NewReader(""), &out, &errOut}, Handlers{})
		// kingpin writes completions to os.Stdout, not to the given streams.
		if code != ExitOK || (out.Len()+errOut.Len() == 0 && !strings.HasPrefix(args[0], "--completion")) {
			t.Errorf("%v: exit code %d, output %q", args, code, out.String())
		}
	}
}

// Guards against a page of the commands that leaves out a command or a flag.
func TestPageNamesEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../../docs/cli.md")
	if err != nil {
		t.Fatal(err)
	}
	a := &app{std: Streams{strings.NewReader(""), &bytes.Buffer{}, &bytes.Buffer{}}}
	a.build()
	for _, cmd := range a.kingpin.Model().Commands {
		if !strings.Contains(string(page), "`"+cmd.Name+"`") {
			t.Errorf("docs/cli.md does not name command %s", cmd.Name)
		}
		for _, f := range cmd.Flags {
			if f.Name != "help" && !strings.Contains(string(page), "--"+f.Name) {
				t.Errorf("docs/cli.md does not name flag %s --%s", cmd.Name, f.Name)
			}
		}
	}
}
