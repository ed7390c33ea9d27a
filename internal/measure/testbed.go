package measure

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

const (
	// pollInterval is the time between two checks while the testbed waits for a
	// state of the cluster.
	pollInterval = 100 * time.Millisecond
	// readyTimeout limits each wait during the start of the testbed: for the
	// publication, for the adoption of all workers and for stable allotments.
	readyTimeout = 2 * time.Minute
	// rackSize is the largest number of hosts in a rack. Racks are smaller in a
	// small cluster, so that each shard gets about racksPerShard racks.
	rackSize      = 20
	racksPerShard = 4
)

// testbed is a running cluster. The stand-ins run in this process, each entry node
// runs in its own process.
type testbed struct {
	o         Options
	deploy    deployment
	cluster   *devcluster.Cluster
	processes []*process
	contract  scheduler.Contract
	operator  *apiclient.Client
	dir       string
}

// newTestbed starts the cluster and returns when every worker is adopted.
func newTestbed(ctx context.Context, o Options) (*testbed, error) {
	tb := &testbed{o: o, deploy: deploymentOf(o.Example)}
	d := devcluster.DefaultOptions()
	d.Nodes, d.Workers, d.Zones, d.ShardsPerZone = 0, 0, tb.deploy.zones, tb.deploy.shardsPerZone
	// Racks are small enough for every shard to get some in a small cluster.
	d.RackSize = min(rackSize, max(1, o.Workers/(len(tb.deploy.zones)*tb.deploy.shardsPerZone*racksPerShard)))
	d.Upstream, d.Logger = tb.deploy.upstream, slog.New(slog.DiscardHandler)
	var err error
	if tb.cluster, err = devcluster.Start(d); err != nil {
		return nil, err
	}
	if tb.dir, err = os.MkdirTemp("", "medlarpulley-measure-"); err == nil {
		err = tb.startNodes()
	}
	if err == nil {
		err = tb.publish(ctx)
	}
	if err == nil {
		// Shards appear with the workers, after all nodes have joined, so that they
		// are distributed over all nodes from the beginning: a live owner releases
		// none to a node that has just joined.
		tb.cluster.AddWorkers(o.Workers)
		err = tb.awaitAdoptedWorkers(ctx)
	}
	if err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) startNodes() error {
	for i := range tb.o.Nodes {
		p, err := newProcess(tb.dir, tb.cluster, tb.o, i, tb.deploy.zones[i%len(tb.deploy.zones)], tb.deploy.shardsPerZone)
		if err != nil {
			return err
		}
		if err := p.start(tb.o.Binary); err != nil {
			return err
		}
		tb.processes = append(tb.processes, p)
	}
	for _, p := range tb.processes {
		if err := p.awaitServing(); err != nil {
			return err
		}
	}
	var err error
	tb.operator, err = tb.client(operatorToken)
	return err
}

// client returns a client of all entry nodes.
func (tb *testbed) client(key string) (*apiclient.Client, error) {
	var entries []string
	for _, p := range tb.processes {
		entries = append(entries, p.address)
	}
	return apiclient.New(apiclient.Options{Entries: entries, Key: key, RoundRobin: true})
}

// publish publishes the example objects and waits until they are in force on
// every node.
func (tb *testbed) publish(ctx context.Context) error {
	changes, err := devcluster.ExampleChanges(tb.o.Example)
	if err != nil {
		return err
	}
	set, err := objects.Apply(nil, changes)
	if err != nil {
		return err
	}
	tb.contract = set.Contract(1)
	var revision uint64
	err = retry(ctx, readyTimeout, func() error {
		result, err := tb.operator.Publish(ctx, gateway.Publication{ID: uuid.NewString(), Author: "measure", Changes: changes})
		revision = result.Revision
		return err
	})
	if err != nil {
		return err
	}
	return retry(ctx, readyTimeout, func() error {
		status, err := tb.operator.RevisionStatus(ctx, revision)
		if err == nil && status.InForce < tb.o.Nodes {
			err = eris.Errorf("the published revision is in force on %d of %d nodes", status.InForce, tb.o.Nodes)
		}
		return err
	})
}

// awaitAdoptedWorkers returns when the shard owners have adopted every worker.
func (tb *testbed) awaitAdoptedWorkers(ctx context.Context) error {
	return retry(ctx, readyTimeout, func() error {
		adopted := 0
		for _, p := range tb.processes {
			for _, s := range tb.dump(ctx, p).Shards {
				for _, h := range s.Hosts {
					if h.Adopted {
						adopted++
					}
				}
			}
		}
		if adopted < tb.o.Workers {
			return fmt.Errorf("%d of %d workers are adopted", adopted, tb.o.Workers)
		}
		return nil
	})
}

// close kills the processes that this testbed started, and closes the stand-ins.
func (tb *testbed) close() {
	for _, p := range tb.processes {
		p.kill()
	}
	tb.cluster.Close()
	_ = os.RemoveAll(tb.dir)
}

// retry calls f until it succeeds. When limit has passed or ctx ends, it returns
// the last error of f.
func retry(ctx context.Context, limit time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := f()
		if err == nil || !ctxtime.Sleep(ctx, pollInterval) {
			return err
		}
	}
}
