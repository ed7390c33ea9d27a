package measure

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options describe one run.
type Options struct {
	// Binary is the path of the program whose serve command runs an entry node.
	Binary string
	// Example is the example whose objects are published: grantveji, hawkrest or
	// design-size.
	Example string
	// Nodes and Workers are the numbers of entry nodes and of workers.
	Nodes, Workers int
	// Duration is how long the load lasts.
	Duration time.Duration
	// Seed makes the load repeatable.
	Seed uint64
	// Faults makes the run kill a worker and an entry node and make the log
	// unavailable for some time.
	Faults bool
	// Slopes replaces the mixed load: Running long tasks run all the time, and Rate
	// short tasks are started per second. The control cost is measured without
	// load and under this load.
	Slopes  bool
	Running int
	Rate    int
	// Kill makes a run with Slopes kill the owner with the most shards, measure the
	// takeover, and start the owner again.
	Kill bool
	// Plot is the directory for SVG files of the mixed load. If it is empty, none
	// are written.
	Plot string
}

const (
	minDuration = 4 * time.Second
	maxNodes    = 32
	maxWorkers  = 4000
	maxRate     = 5000
	maxRunning  = 100_000
)

// Check returns an error for the first invalid option.
func (o Options) Check() error {
	switch {
	case o.Nodes < 1 || o.Nodes > maxNodes:
		return eris.Errorf("--nodes must be 1 to %d", maxNodes)
	case o.Workers < 1 || o.Workers > maxWorkers:
		return eris.Errorf("--workers must be 1 to %d", maxWorkers)
	case o.Duration < minDuration:
		return eris.Errorf("--duration must be at least %s", minDuration)
	case o.Rate < 0 || o.Rate > maxRate || o.Running < 0 || o.Running > maxRunning:
		return eris.Errorf("--rate must be 0 to %d and --running 0 to %d", maxRate, maxRunning)
	case o.Faults && o.Nodes < 3:
		return eris.New("--faults needs --nodes of at least 3: two nodes must be left")
	case o.Kill && o.Nodes < 2:
		return eris.New("--kill needs --nodes of at least 2")
	case !o.Slopes && o.Example == "design-size":
		return eris.New("the mixed load needs --example grantveji or hawkrest; use --slopes for design-size")
	}
	return nil
}
