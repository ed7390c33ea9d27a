package config

import (
	"os"
	"strings"
	"testing"
)

const validSettings = "[node]\nname = \"n\"\nzone = \"z\"\n[listen]\ncallers = \"1.2.3.4:1\"\nstatus = \"1.2.3.4:2\"\npeers = \"1.2.3.4:3\"\n[platform]\nstore = \"1.2.3.4:4\"\n"

// Guards against an invalid setting that is accepted at start and causes a
// failure only while the process serves.
func TestParse(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Errorf("valid settings: %v", err)
	}
	for name, c := range map[string]struct{ change, with, want string }{
		"unknown setting":    {"zone =", "colour = 1\nzone =", "colour"},
		"missing name":       {`name = "n"`, `name = ""`, "node.name"},
		"address":            {`store = "1.2.3.4:4"`, `store = "nowhere"`, "platform.store"},
		"another type":       {`zone = "z"`, `zone = 7`, "Zone"},
		"bound out of range": {"[platform]", "[bounds]\nrevoke_ms = 0\n[platform]", "bounds.revoke_ms"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, c.change, c.with, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error is %v, want one that names %s", name, err, c.want)
		}
	}
}

// Guards against a template in deploy/ with a setting that the process does not
// know.
func TestTemplateNamesKnownSettings(t *testing.T) {
	data, err := os.ReadFile("../../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		line = line[strings.LastIndex(line, "}}{{")+1:]
		if i := strings.LastIndex(line, "}}"); strings.HasPrefix(line, "{{/") || i >= 0 && !strings.Contains(line, " = ") {
			continue
		}
		if key, _, ok := strings.Cut(line, " = "); ok {
			key = key[strings.LastIndex(key, "}")+1:]
			value := `"1.2.3.4:1"`
			for _, number := range []string{"_ms", "seconds", "penalty", "_mib", "cores"} {
				if strings.HasSuffix(key, number) {
					value = "1"
				}
			}
			line = key + " = " + value
		}
		out = append(out, line)
	}
	if _, err := Parse([]byte(strings.Join(out, "\n"))); err != nil {
		t.Errorf("%v in\n%s", err, strings.Join(out, "\n"))
	}
}
