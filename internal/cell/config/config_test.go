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
		"overflow":           {"[platform]", "[bounds]\nmax_lease_ms = 9223372036854775807\n[platform]", "bounds.max_lease_ms"},
		"too large a number": {"[platform]", "[bounds]\nmax_lease_ms = 9223372036854775808\n[platform]", "max_lease_ms"},
		"negative bound":     {"[platform]", "[bounds]\nevacuation_ms = -1\n[platform]", "bounds.evacuation_ms"},
		"too long a bound":   {"[platform]", "[bounds]\nevacuation_ms = 1000000001\n[platform]", "bounds.evacuation_ms"},
		"negative cancels":   {"[platform]", "[bounds]\ncancel_ms = -1\n[platform]", "bounds.cancel_ms"},
		"infinite grace":     {"[platform]", "[bounds]\ngrace_seconds = inf\n[platform]", "bounds.grace_seconds"},
		"no number":          {"[platform]", "[bounds]\nstatus_seconds = nan\n[platform]", "bounds.status_seconds"},
		"negative time":      {"[platform]", "[bounds]\nstatus_seconds = -1.0\n[platform]", "bounds.status_seconds"},
		"cores, no number":   {"[platform]", "[limits]\ncores = nan\n[platform]", "limits.cores"},
		"infinite cores":     {"[platform]", "[limits]\ncores = inf\n[platform]", "limits.cores"},
		"negative cores":     {"[platform]", "[limits]\ncores = -1.0\n[platform]", "limits.cores"},
		"no memory":          {"[platform]", "[limits]\nmemory_mib = 0\n[platform]", "limits.memory_mib"},
		"few descriptors":    {"[platform]", "[limits]\nmax_fds = 63\n[platform]", "limits.max_fds"},
		"negative bodies":    {"[platform]", "[limits]\nbody_memory_mib = -1\n[platform]", "limits.body_memory_mib"},
		"bodies above all":   {"[platform]", "[limits]\nmemory_mib = 100\nbody_memory_mib = 101\n[platform]", "limits.body_memory_mib"},
		"no time for a body": {"[platform]", "[limits]\nbody_timeout_ms = 0\n[platform]", "limits.body_timeout_ms"},
		"no connections":     {"[platform]", "[limits]\ncaller_connections = -1\n[platform]", "limits.caller_connections"},
		"port above 65535":   {`store = "1.2.3.4:4"`, `store = "1.2.3.4:70000"`, "platform.store"},
		"negative port":      {`peers = "1.2.3.4:3"`, `peers = "1.2.3.4:-1"`, "listen.peers"},
		"named port":         {`peers = "1.2.3.4:3"`, `peers = "1.2.3.4:http"`, "listen.peers"},
		"no port":            {`peers = "1.2.3.4:3"`, `peers = "1.2.3.4:"`, "listen.peers"},
		"address of advice":  {"[platform]", "[platform]\nadvice = \"nowhere\"", "platform.advice"},
		"long name":          {`name = "n"`, `name = "` + strings.Repeat("n", 201) + `"`, "node.name"},
		"name with a break":  {`name = "n"`, `name = "a\nb"`, "node.name"},
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
			if strings.HasSuffix(key, "_fds") {
				value = "1024"
			}
			line = key + " = " + value
		}
		out = append(out, line)
	}
	if _, err := Parse([]byte(strings.Join(out, "\n"))); err != nil {
		t.Errorf("%v in\n%s", err, strings.Join(out, "\n"))
	}
}
