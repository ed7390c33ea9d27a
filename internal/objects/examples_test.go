package objects

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const examplesDir = "../../examples"

func parseDir(t testing.TB, dir string) []Change {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(examplesDir, dir, "*.toml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	var out []Change
	for _, f := range files {
		if strings.HasPrefix(filepath.Base(f), "settings") {
			continue
		}
		changes, err := parseFile(t, f)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, changes...)
	}
	return out
}

func parseFile(t testing.TB, path string) ([]Change, error) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return ParseTOML(filepath.Base(path), data)
}

// Guards against example sets that a cluster would reject.
func TestExamplesAreValid(t *testing.T) {
	for dir, teams := range map[string]int{"grantveji": 6, "hawkrest": 6, "design-size": 68} {
		set, err := Apply(nil, parseDir(t, dir))
		if err != nil {
			t.Errorf("%s: %v", dir, err)
			continue
		}
		if len(set.Teams) != teams || len(set.Keys) != teams || len(set.Upstreams) == 0 {
			t.Errorf("%s has %d teams and %d keys", dir, len(set.Teams), len(set.Keys))
		}
	}
}

// Guards against faults that are not detected, are attributed to the wrong object
// or field, or are reported more than once.
func TestBrokenExamples(t *testing.T) {
	want := map[string][2]string{
		"unknown-field":          {"limit/second", "colour"},
		"unknown-kind":           {"file", "quota"},
		"wrong-type":             {"queue/second", "open"},
		"missing-name":           {"limit/?", "name"},
		"bad-name":               {"share/Second Half", "name"},
		"duplicate-name":         {"share/second", "name"},
		"dangling-limit":         {"team/second", "limit"},
		"dangling-share":         {"team/second", "share"},
		"dangling-unit":          {"limit/second", "amount"},
		"dangling-key-team":      {"key/second-1", "team"},
		"dangling-queue-team":    {"queue/second", "teams[1]"},
		"dangling-upstream-team": {"upstream/second", "teams[0]"},
		"dangling-class-team":    {"upstream/second", "classes[0].teams[0]"},
		"unit-cycle":             {"unit/desk", "of"},
		"unit-empty":             {"unit/desk", "milli_cpu"},
		"unit-overflow":          {"unit/desk", "factor"},
		"unit-both":              {"unit/desk", "of"},
		"unit-word-twice":        {"unit/desk", "plural"},
		"limit-not-whole":        {"limit/second", "amount"},
		"limit-negative":         {"limit/second", "amount"},
		"limit-overflow":         {"limit/second", "amount"},
		"limit-below-gang":       {"team/second", "declares[0]"},
		"limit-below-task":       {"team/second", "declares[0]"},
		"unit-lacks-resource":    {"team/second", "declares[0].size"},
		"share-sum":              {"share/most", "minimum_percent"},
		"share-zero":             {"share/none", "weight"},
		"withdrawn-limit":        {"team/atelier", "limit"},
		"withdrawn-unit":         {"limit/atelier", "amount"},
		"withdrawn-missing":      {"share/third", "withdrawn"},
		"key-not-a-hash":         {"key/atelier-2", "sha256"},
		"key-twice":              {"key/atelier-2", "sha256"},
		"queue-open-and-teams":   {"queue/second", "open"},
		"queue-without-teams":    {"queue/second", "teams"},
		"policy-name":            {"policy/night", "name"},
		"policy-range":           {"policy/cluster", "share_weight"},
		"policy-duration":        {"policy/cluster", "max_wait"},
		"class-unknown":          {"upstream/second", "classes.class"},
		"syntax":                 {"file", "syntax"},
	}
	base, err := Apply(nil, parseDir(t, "broken/base"))
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(examplesDir, "broken/*.toml"))
	if len(files) != len(want) {
		t.Errorf("%d files for %d cases", len(files), len(want))
	}
	for name, at := range want {
		changes, err := parseFile(t, filepath.Join(examplesDir, "broken", name+".toml"))
		if err == nil {
			_, err = Apply(base.Objects(), changes)
		}
		var faults Faults
		if !errors.As(err, &faults) || len(faults) != 1 {
			t.Errorf("%s: want one fault, got %v", name, err)
			continue
		}
		f := faults[0]
		if f.Object != at[0] || f.Field != at[1] || f.Accepted == "" {
			t.Errorf("%s: want a fault in %v, got %v", name, at, f)
		}
		// If an object is withdrawn, the fault is in the object of the base set
		// that refers to it, which was read from base.toml.
		if f.File != name+".toml" && f.File != "base.toml" {
			t.Errorf("%s: fault names file %q", name, f.File)
		}
	}
}
