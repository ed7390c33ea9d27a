package cli

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell/desiredcheck"
	"github.com/medlarpulley/medlarpulley/platform"
)

// checkDesiredDir is in platform, as its files have names of the wire.
const checkDesiredDir = "../../platform/testdata/check-desired/"

// Guards against a change of the output and the exit code of check-desired that scripts
// rely on, and against a key in the output.
func TestCheckDesiredOutput(t *testing.T) {
	for _, c := range []struct {
		name string
		code int
		json bool
		args []string
	}{
		{"sound", ExitOK, false, []string{"sound.json"}},
		{"faults", ExitFailed, false, []string{"faults.json"}},
		{"faults-json", ExitFailed, true, []string{"faults.json"}},
		{"malformed", ExitFailed, false, []string{"malformed.json", "--current", "sound.json"}},
		{"malformed-current", ExitFailed, false, []string{"sound.json", "--current", "malformed.json"}},
		{"changed", ExitOK, false, []string{"changed.json", "--current", "sound.json"}},
		{"not-higher", ExitFailed, true, []string{"sound.json", "--current", "sound.json"}},
	} {
		args := []string{"check-desired"}
		for _, a := range c.args {
			if strings.HasSuffix(a, ".json") {
				a = checkDesiredDir + a
			}
			args = append(args, a)
		}
		code, out, errOut := run(t, &backend{}, c.json, args...)
		if code != c.code || errOut != "" {
			t.Errorf("%s: code %d, error output %q", c.name, code, errOut)
		}
		golden := checkDesiredDir + c.name + ".golden"
		if os.Getenv("UPDATE_GOLDEN") != "" {
			if err := os.WriteFile(golden, []byte(out), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if out != string(want) {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, out, want)
		}
		if strings.Contains(out, "secret-") {
			t.Errorf("%s: the output shows a key", c.name)
		}
	}
}

// Guards against a usage error that looks like a fault of the document.
func TestCheckDesiredUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"absent.json"}, {checkDesiredDir + "sound.json", "--current", "absent.json"}} {
		if code, _, _ := run(t, &backend{}, false, append([]string{"check-desired"}, args...)...); code != ExitUsage {
			t.Errorf("%q: exit code %d", args, code)
		}
	}
}

// Guards against a mutated document that makes the check panic, or that has no findings
// although no node decodes it.
func TestMutatedDesired(t *testing.T) {
	var seeds [][]byte
	for _, f := range []string{"sound.json", "faults.json", "changed.json"} {
		data, err := os.ReadFile(checkDesiredDir + f)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	dir := t.TempDir()
	file, current := filepath.Join(dir, "new.json"), filepath.Join(dir, "current.json")
	if err := os.WriteFile(current, seeds[0], 0o600); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := mutate(t, rapid.SampledFrom(seeds).Draw(t, "seed"))
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		lines, err := checkDesired(file, "")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := checkDesired(file, current); err != nil {
			t.Fatal(err)
		}
		if _, err := checkDesired(current, file); err != nil {
			t.Fatal(err)
		}
		d, err := platform.DecodeDesired(data)
		if len(lines) > 0 {
			return
		}
		if err != nil {
			t.Fatalf("no findings, but %v", err)
		}
		for _, q := range d.Queues {
			if got, rest, ok := d.Route(q.Host, q.PathPrefix+"id"); !ok || got.Name != q.Name || rest != "id" {
				t.Fatalf("no findings, but queue %q does not take the calls to its path", q.Name)
			}
		}
	})
}

// mutate changes values of a document, and after that in some cases bytes.
func mutate(t *rapid.T, data []byte) []byte {
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		t.Fatal(err)
	}
	left := rapid.IntRange(0, 3).Draw(t, "values")
	data, err := json.Marshal(mutateValue(t, doc, &left))
	if err != nil {
		t.Fatal(err)
	}
	for range rapid.SampledFrom([]int{0, 0, 0, 1, 4}).Draw(t, "bytes") {
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
	}
	return data
}

func mutateValue(t *rapid.T, v any, left *int) any {
	if *left > 0 && rapid.IntRange(0, 7).Draw(t, "replace") == 0 {
		*left--
		return rapid.SampledFrom([]any{nil, "", "s", "h:1", "/q/", "/q", true, -1.0, 0.0, 1e18, 1e300, 0.5, 7.0, []any{}, []any{nil},
			[]any{map[string]any{}}, map[string]any{}}).Draw(t, "value")
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) { // the order must not differ between runs of a seed
			v[name] = mutateValue(t, v[name], left)
		}
	case []any:
		for i := range v {
			v[i] = mutateValue(t, v[i], left)
		}
	}
	return v
}

// Guards against a severity that makes the exit code differ from the field valid.
func TestDesiredExitCode(t *testing.T) {
	for severity, want := range map[desiredcheck.Severity]int{desiredcheck.Error: ExitFailed, desiredcheck.Warning: ExitOK, desiredcheck.Difference: ExitOK} {
		a := &app{output: "json", std: Streams{Out: &strings.Builder{}}}
		if got := exitCode(a.printDesired([]desiredLine{{Severity: severity}})); got != want {
			t.Errorf("%s: exit code %d", severity, got)
		}
	}
}
