package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"unicode"

	"github.com/rotisserie/eris"
)

const (
	// maxNameBytes bounds the name of a node, which is part of keys of at most 255 bytes.
	maxNameBytes = 200
	// maxBound bounds the bounds of time, in milliseconds or seconds, and the memory in MiB.
	maxBound = 1e9
	// maxCores bounds the processor cores of a process.
	maxCores = 1 << 16
	maxPort  = 1<<16 - 1
	// minFDs is the least number of file descriptors with which a process can serve: an
	// idle one that polls a few hosts has about 20.
	minFDs = 64
)

// checker collects the invalid values of a settings file.
type checker struct{ faults []error }

func (c *checker) require(ok bool, field, value, accepted string) {
	if !ok {
		c.faults = append(c.faults, eris.Errorf("%s = %q, accepted: %s", field, value, accepted))
	}
}

func (s *Settings) check() error {
	var c checker
	c.name("node.name", s.Node.Name)
	c.name("node.zone", s.Node.Zone)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.status", s.Listen.Status)
	c.address("listen.peers", s.Listen.Peers)
	c.address("platform.store", s.Platform.Store)
	if s.Platform.Advice != "" {
		c.address("platform.advice", s.Platform.Advice)
	}
	c.number("bounds.max_lease_ms", float64(s.Bounds.MaxLeaseMs), maxBound)
	c.number("bounds.gang_timeout_ms", float64(s.Bounds.GangTimeoutMs), maxBound)
	c.number("bounds.revoke_ms", float64(s.Bounds.RevokeMs), maxBound)
	c.number("bounds.config_apply_ms", float64(s.Bounds.ConfigApplyMs), maxBound)
	c.optional("bounds.evacuation_ms", s.Bounds.EvacuationMs, 1, maxBound)
	c.optional("bounds.cancel_ms", s.Bounds.CancelMs, 1, maxBound)
	c.number("bounds.grace_seconds", s.Bounds.GraceSeconds, maxBound)
	c.number("bounds.status_seconds", s.Bounds.StatusSeconds, maxBound)
	c.number("limits.memory_mib", float64(s.Limits.MemoryMiB), maxBound)
	c.number("limits.cores", s.Limits.Cores, maxCores)
	c.optional("limits.max_fds", s.Limits.MaxFDs, minFDs, maxBound)
	c.optional("limits.body_memory_mib", s.Limits.BodyMemoryMiB, 1, s.Limits.MemoryMiB)
	c.number("limits.body_timeout_ms", float64(s.Limits.BodyTimeoutMs), maxBound)
	c.optional("limits.caller_connections", s.Limits.CallerConnections, 1, maxBound)
	return errors.Join(c.faults...)
}

func (c *checker) name(field, value string) {
	ok := value != "" && len(value) <= maxNameBytes
	for _, r := range value {
		ok = ok && unicode.IsPrint(r)
	}
	c.require(ok, field, value, fmt.Sprintf("a name of 1 to %d bytes without control characters", maxNameBytes))
}

func (c *checker) address(field, value string) {
	_, port, err := net.SplitHostPort(value)
	n, portErr := strconv.ParseUint(port, 10, 64)
	c.require(err == nil && portErr == nil && n <= maxPort, field, value, fmt.Sprintf("HOST:PORT with a port of 0 to %d", maxPort))
}

// number requires a number above 0. Infinity and values that are no number are refused.
func (c *checker) number(field string, value, largest float64) {
	c.require(value > 0 && value <= largest, field, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("a number above 0, at most %g", largest))
}

// optional requires a whole number in a range, or 0 for the default or none.
func (c *checker) optional(field string, value, smallest, largest int64) {
	c.require(value == 0 || value >= smallest && value <= largest, field, strconv.FormatInt(value, 10), fmt.Sprintf("0, or a number from %d to %d", smallest, largest))
}
