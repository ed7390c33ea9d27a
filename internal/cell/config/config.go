// Package config holds the TOML settings of an entry process of a cell. The
// platform fills in a template, so a setting that the platform has no value
// for is absent.
package config

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings are the checked settings of one process.
type Settings struct {
	Node     Node     `toml:"node"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Bounds   Bounds   `toml:"bounds"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// Node says which process this is and where it runs.
type Node struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
}

// Listen holds listening addresses.
type Listen struct {
	// Callers is for clients, Status for readiness, metrics and dumps, and Peers
	// for the other nodes.
	Callers string `toml:"callers"`
	Status  string `toml:"status"`
	Peers   string `toml:"peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store  string `toml:"store"`
	Advice string `toml:"advice"`
}

// Bounds are the platform's figures that decisions rest on.
type Bounds struct {
	MaxLeaseMs    int64   `toml:"max_lease_ms"`
	GangTimeoutMs int64   `toml:"gang_timeout_ms"`
	RevokeMs      int64   `toml:"revoke_ms"`
	GraceSeconds  float64 `toml:"grace_seconds"`
	StatusSeconds float64 `toml:"status_seconds"`
}

// Limits bound what the process uses.
type Limits struct {
	MemoryMiB int64 `toml:"memory_mib"`
	// Cores is the share of a core that the process has.
	Cores float64 `toml:"cores"`
}

// Log sets the log lines.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		Bounds: Bounds{MaxLeaseMs: 10_000, GangTimeoutMs: 3000, RevokeMs: 5000, GraceSeconds: 6, StatusSeconds: 120},
		Limits: Limits{MemoryMiB: 284, Cores: 1},
		Log:    Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "settings file %s", path)
}

// Parse checks the content of a settings file as a whole and lists every fault.
func Parse(data []byte) (Settings, error) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return Settings{}, eris.Errorf("no such setting:\n%s", unknown.String())
		}
		return Settings{}, eris.Wrap(err, "syntax")
	}
	return s, s.check()
}

func (s *Settings) check() error {
	var faults []error
	want := func(ok bool, field, value, accepted string) {
		if !ok {
			faults = append(faults, eris.Errorf("%s = %q, accepted: %s", field, value, accepted))
		}
	}
	want(s.Node.Name != "", "node.name", s.Node.Name, "a name")
	want(s.Node.Zone != "", "node.zone", s.Node.Zone, "a name")
	for _, a := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.status", s.Listen.Status}, {"listen.peers", s.Listen.Peers},
		{"platform.store", s.Platform.Store},
	} {
		_, _, err := net.SplitHostPort(a.value)
		want(err == nil, a.field, a.value, "HOST:PORT")
	}
	for _, b := range []struct {
		field string
		value float64
	}{
		{"bounds.max_lease_ms", float64(s.Bounds.MaxLeaseMs)}, {"bounds.gang_timeout_ms", float64(s.Bounds.GangTimeoutMs)},
		{"bounds.revoke_ms", float64(s.Bounds.RevokeMs)}, {"bounds.grace_seconds", s.Bounds.GraceSeconds},
		{"limits.memory_mib", float64(s.Limits.MemoryMiB)},
	} {
		want(b.value > 0, b.field, "", "a number above 0")
	}
	return errors.Join(faults...)
}

// Millis returns a number of milliseconds as a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns a number of seconds as a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
