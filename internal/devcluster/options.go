package devcluster

import (
	"log/slog"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// Options describe a cluster.
type Options struct {
	// Nodes is the number of entry nodes; they are spread over Zones.
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
	// HTTP is the listening address of the first node; the kernel chooses if empty.
	HTTP string
	// OperatorToken is what operators send.
	OperatorToken string
	Logger        *slog.Logger
	// Adjust changes the settings of a node before it starts.
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

// drainWait is short, because no balancer stands before the nodes.
const drainWait = 200 * time.Millisecond
