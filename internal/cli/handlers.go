package cli

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/measure"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// Handlers run the commands that start processes of a cluster. Each returns
// once ctx is done and the planned stop has completed; Measure, and Dev with
// Demo, also return at the end of their run. Log lines go to slog.Default.
type Handlers struct {
	// Serve runs one entry node.
	Serve func(ctx context.Context, s settings.Settings) error
	// Entry runs one entry process of a cell on the users' platform.
	Entry func(ctx context.Context, s config.Settings) error
	// Dev runs a cluster on the loopback interface with stand-ins for the platform.
	Dev func(ctx context.Context, o DevOptions) error
	// Measure runs a cluster under load and returns what it measured.
	Measure func(ctx context.Context, o measure.Options) (measure.Report, error)
}

// DevOptions configure a development cluster.
type DevOptions struct {
	// Demo runs the demo in the cluster: it publishes the objects of the
	// example, submits work, reports on it and ends.
	Demo bool
	// Nodes is the number of entry nodes.
	Nodes int
	// Workers and Runners are the numbers of workers and of runners.
	Workers, Runners int
	// HTTP is the listening address of the first entry node.
	HTTP string
	// Objects are published at the start instead of those of the example.
	Objects []objects.Change
}
