package devcluster

import (
	"log/slog"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// Options describes a cluster.
type Options struct {
	// Nodes is the number of entry nodes. They are assigned to Zones in turn.
	Nodes int
	// Zones are the availability zones.
	Zones []string
	// ShardsPerZone is the number of shards of each zone.
	ShardsPerZone int
	// Workers is the number of workers, RackSize the number in one rack.
	Workers  int
	RackSize int
	// WorkerSize is the capacity of one worker.
	WorkerSize resource.Vector
	// Runners is the number of runners of Upstream.
	Runners  int
	Upstream string
	// HTTP is the listen address of the first node. If it is empty, the kernel
	// chooses a port on the loopback interface.
	HTTP string
	// OperatorToken is the token that authenticates operators.
	OperatorToken string
	Logger        *slog.Logger
	// Adjust, if set, changes the settings of each node before it starts.
	Adjust func(*settings.Settings)
}

// DefaultOptions returns a small cluster in three availability zones.
func DefaultOptions() Options {
	return Options{
		Nodes: 3, Zones: []string{"zone-a", "zone-b", "zone-c"}, ShardsPerZone: 1,
		Workers: 12, RackSize: 4, WorkerSize: resource.Vector{MilliCPU: 16000, MemoryMiB: 65536},
		Runners: 4, Upstream: "matching", OperatorToken: "dev-operator-token",
		Logger: slog.New(slog.DiscardHandler),
	}
}

// drainWait is the setting timing.drain_wait of the nodes. It is short because
// there is no load balancer in front of them.
const drainWait = 200 * time.Millisecond
