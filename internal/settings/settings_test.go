package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const minimalWithToken = "operator.token = \"secret\"\n" + minimalSettings

const minimalSettings = `
[node]
name = "entry-1"
zone = "riga-a"
region = "riga"
[platform]
log_url = "http://127.0.0.1:7000"
hostlist_url = "http://127.0.0.1:7001"
`

// Guards against docs/settings.md differing from the settings in the code.
func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/settings.md differs; render it with: medlarpulley settings --markdown")
	}
}

// Guards against defaults that are invalid in combination, and against rows that
// are incomplete or duplicated.
func TestDefaults(t *testing.T) {
	s, err := Parse("f", []byte(minimalWithToken))
	if err != nil {
		t.Fatal(err)
	}
	if s.Timing.DrainWait != 5*time.Second || s.Cluster.Nodes != 8 || s.Limits.Memory != 128<<20 || s.Node.Name != "entry-1" {
		t.Errorf("defaults are %+v", s)
	}
	keys := map[string]bool{}
	for _, row := range Table() {
		if keys[row.Key] || row.Doc == "" || row.Unit == "" {
			t.Errorf("row %q is incomplete or a duplicate", row.Key)
		}
		keys[row.Key] = true
	}
}

// Guards against two settings that are stored in the same field.
func TestEveryRowHasItsOwnField(t *testing.T) {
	var empty Settings
	for _, row := range Table() {
		for _, other := range Table() {
			if row.Key == other.Key || row.Required || other.Required || row.Default == "" || other.Default == "" {
				continue
			}
			var a, b Settings
			if row.set(&a, defaultValue(row)) != nil || other.set(&b, defaultValue(other)) != nil || a == empty || b == empty {
				t.Fatalf("%s or %s stores nothing", row.Key, other.Key)
			}
			once := a
			if err := other.set(&a, defaultValue(other)); err != nil || a == once {
				t.Errorf("%s and %s share a field", row.Key, other.Key)
			}
		}
	}
}

// Guards against accepting settings with which a process cannot work.
func TestRefused(t *testing.T) {
	for _, c := range []struct{ add, field string }{
		{"[timing]\ndrain_weight = \"2s\"", "timing.drain_weight"},
		{"[timing]\nauthority = \"6s\"", "timing.authority"},
		{"[timing]\ndrain_wait = 2", "timing.drain_wait"},
		{"[timing]\ndrain_wait = \"2 kg\"", "timing.drain_wait"},
		{"[timing]\ndrain_wait = \"2m\"", "timing.drain_wait"},
		{"[platform2]", "platform2"},
		{"[limits]\nwatches = \"1\"", "limits.watches"},
		{"[limits]\nmemory = \"128MB\"", "limits.memory"},
		{"[limits]\njob_bytes = \"512KiB\"", "limits.job_bytes"},
		{"[cluster]\nnodes = 0", "cluster.nodes"},
		{"[cluster]\nnodes = 20", "cluster.nodes"},
		{"[listen]\nhttp = \"127.0.0.1:9000\"\npeer = \"127.0.0.1:9000\"", "listen.peer"},
		{"[listen]\nhttp = \"localhost\"", "listen.http"},
		{"[operator]\ntoken = \"a\"\ntoken_file = \"b\"", "operator.token_file"},
		{"[operator]\ntoken = \"\"", "operator.token"},
		{"[log]\nlevel = \"loud\"", "log.level"},
		{"[request]\ndefault_deadline = \"20m\"", "request.default_deadline"},
		{"[nodes]", "nodes"},
		{"[timing", "syntax"},
	} {
		content := minimalWithToken + c.add
		if strings.HasPrefix(c.add, "[operator]") {
			content = minimalSettings + c.add
		}
		_, err := Parse("f.toml", []byte(content))
		var faults Faults
		if !errors.As(err, &faults) || len(faults) != 1 || faults[0].Field != c.field || faults[0].File != "f.toml" || faults[0].Accepted == "" {
			t.Errorf("%q: want one fault in %s, got %v", c.add, c.field, err)
		}
	}
	var faults Faults
	if _, err := Parse("f", nil); !errors.As(err, &faults) || len(faults) != 5 {
		t.Errorf("an empty file gives %v", err)
	}
}

// Guards against an empty operator token that is not reported, since it would
// open the operator routes to everyone.
func TestTokenFile(t *testing.T) {
	dir := t.TempDir()
	token, file := filepath.Join(dir, "token"), filepath.Join(dir, "s.toml")
	write := func(path, content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file, minimalSettings+"[operator]\ntoken_file = '"+token+"'")
	if _, err := Load(file); err == nil || !strings.Contains(err.Error(), "operator.token_file") {
		t.Errorf("missing token file gives %v", err)
	}
	write(token, "\n")
	if _, err := Load(file); err == nil {
		t.Error("empty token file is accepted")
	}
	write(token, "secret\n")
	if s, err := Load(file); err != nil || s.Operator.Token != "secret" {
		t.Errorf("token is %q, %v", s.Operator.Token, err)
	}
}

// Guards against example settings that a process would reject.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/settings*.toml")
	if err != nil || len(files) < 3 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}
