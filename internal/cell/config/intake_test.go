package config

import "testing"

// Guards against bounds that a process cannot hold, and against those that ordinary use
// meets, on the smallest and the largest machine of an entry node.
func TestIntakeFitsTheMachine(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		rlimit uint64
		want   Intake
	}{
		"smallest": {Limits{MemoryMiB: 144}, 3075, Intake{BodyBytes: 18 << 20, PeerBytes: 18 << 20, CallerConnections: 491, PeerConnections: 144, StatusConnections: 64}},
		"largest":  {Limits{MemoryMiB: 536}, 10_250, Intake{BodyBytes: 67 << 20, PeerBytes: 67 << 20, CallerConnections: 1829, PeerConnections: 512, StatusConnections: 64}},
		"setting of descriptors below RLIMIT_NOFILE": {
			Limits{MemoryMiB: 536, MaxFDs: 320}, 10_250, Intake{BodyBytes: 67 << 20, PeerBytes: 67 << 20, CallerConnections: 160, PeerConnections: 40, StatusConnections: 10},
		},
		"setting of descriptors above RLIMIT_NOFILE": {
			Limits{MemoryMiB: 536, MaxFDs: 10_250}, 320, Intake{BodyBytes: 67 << 20, PeerBytes: 67 << 20, CallerConnections: 160, PeerConnections: 40, StatusConnections: 10},
		},
		"settings": {
			Limits{MemoryMiB: 144, BodyMemoryMiB: 5, CallerConnections: 900}, 3075,
			Intake{BodyBytes: 5 << 20, PeerBytes: 18 << 20, CallerConnections: 900, PeerConnections: 144, StatusConnections: 64},
		},
		"more connections than descriptors": {
			Limits{MemoryMiB: 144, CallerConnections: 900}, 320, Intake{BodyBytes: 18 << 20, PeerBytes: 18 << 20, CallerConnections: 160, PeerConnections: 40, StatusConnections: 10},
		},
		"no limit of descriptors": {Limits{MemoryMiB: 144}, 1<<64 - 1, Intake{BodyBytes: 18 << 20, PeerBytes: 18 << 20, CallerConnections: 491, PeerConnections: 144, StatusConnections: 64}},
	} {
		if got := c.limits.Intake(c.rlimit); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
