// Package config owns the TOML settings of a node of a cell: their
// form, their defaults and their checks. The platform fills in a template, so a
// setting that the platform has no value for is absent. The package must never
// accept a file with an unknown setting.
package config

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings holds the settings of one process.
type Settings struct {
	Node     Node     `toml:"node"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Bounds   Bounds   `toml:"bounds"`
	Limits   Limits   `toml:"limits"`
	// Scheduling switches parts of the scheduler on and off.
	Scheduling Scheduling `toml:"scheduling"`
	Log        Log        `toml:"log"`
}

// Node identifies the process and its availability zone.
type Node struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	// Callers serves clients, Status serves readiness, metrics and dumps, and
	// Peers serves the other nodes.
	Callers string `toml:"callers"`
	Status  string `toml:"status"`
	Peers   string `toml:"peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store  string `toml:"store"`
	Advice string `toml:"advice"`
}

// Bounds holds the platform's time limits that decisions depend on.
type Bounds struct {
	MaxLeaseMs    int64 `toml:"max_lease_ms"`
	GangTimeoutMs int64 `toml:"gang_timeout_ms"`
	RevokeMs      int64 `toml:"revoke_ms"`
	// ConfigApplyMs is the time within which a confirmed desired state has to be in
	// force.
	ConfigApplyMs int64 `toml:"config_apply_ms"`
	// EvacuationMs is the time within which the evacuation of an availability zone has to be
	// in effect; zero for no bound.
	EvacuationMs int64 `toml:"evacuation_ms"`
	// CancelMs is the time after the acknowledgement of a cancellation from which nothing of
	// the submission may start; zero for no bound.
	CancelMs      int64   `toml:"cancel_ms"`
	GraceSeconds  float64 `toml:"grace_seconds"`
	StatusSeconds float64 `toml:"status_seconds"`
}

// Limits holds the resource limits of the process.
type Limits struct {
	MemoryMiB int64 `toml:"memory_mib"`
	// Cores is the number of processor cores that the process may use; it can be
	// a fraction.
	Cores float64 `toml:"cores"`
	// MaxFDs is the number of file descriptors that the process may use; zero for its
	// RLIMIT_NOFILE.
	MaxFDs int64 `toml:"max_fds"`
	// BodyMemoryMiB is the memory for request bodies of callers, CallerConnections the
	// number of connections that callers may have open; zero derives them.
	BodyMemoryMiB     int64 `toml:"body_memory_mib"`
	BodyTimeoutMs     int64 `toml:"body_timeout_ms"`
	CallerConnections int64 `toml:"caller_connections"`
}

// MemoryBytes returns the memory limit of the process in bytes.
func (l Limits) MemoryBytes() int64 { return l.MemoryMiB << 20 }

// Scheduling switches decisions on that are not part of the basic placement.
type Scheduling struct {
	// LearnRunTimes derives the expected duration of runs from those that have ended.
	LearnRunTimes bool `toml:"learn_run_times"`
	// GangCapacity names more hosts, and those with room soonest, in advice calls for gangs.
	GangCapacity bool `toml:"gang_capacity"`
	// Admission refuses submissions that would end too late to be of use, and keeps accepted
	// work of that kind from the room of other work.
	Admission bool `toml:"admission"`
	// FairShares orders work by the shares of the teams while the cell is full.
	FairShares bool `toml:"fair_shares"`
}

// Log holds the level and the format of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Default returns the default values of the settings that a file may omit.
func Default() Settings {
	return Settings{
		Bounds:     Bounds{MaxLeaseMs: 10_000, GangTimeoutMs: 3000, RevokeMs: 5000, ConfigApplyMs: 2000, GraceSeconds: 6, StatusSeconds: 120},
		Limits:     Limits{MemoryMiB: 284, Cores: 1, BodyTimeoutMs: 15_000},
		Scheduling: Scheduling{LearnRunTimes: true, GangCapacity: true},
		Log:        Log{Level: "info", Format: "text"},
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

// Parse parses and checks the content of a settings file. After a syntax error
// or an unknown setting it stops; otherwise the error lists every invalid value.
func Parse(data []byte) (Settings, error) {
	s := Default()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return Settings{}, eris.Errorf("no such setting:\n%s", unknown.String())
		}
		var position *toml.DecodeError
		if errors.As(err, &position) {
			return Settings{}, eris.Errorf("syntax:\n%s", position.String())
		}
		return Settings{}, eris.Wrap(err, "syntax")
	}
	return s, s.check()
}

// Millis converts milliseconds to a duration.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds converts seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
