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
	// poll is the interval of waits for a state of the cluster.
	poll = 100 * time.Millisecond
	// readyLimit bounds the time until all workers are adopted.
	readyLimit = 2 * time.Minute
	// rackSize and racksPerShard give the number of hosts in a rack.
	rackSize      = 20
	racksPerShard = 4
)

// lab is a running cluster: stand-ins here, entry nodes in processes.
type lab struct {
	o         Options
	deploy    deployment
	cluster   *devcluster.Cluster
	processes []*process
	contract  scheduler.Contract
	operator  *apiclient.Client
	dir       string
}

// newLab starts everything and returns when every worker is adopted.
func newLab(ctx context.Context, o Options) (*lab, error) {
	l := &lab{o: o, deploy: deploymentOf(o.Example)}
	d := devcluster.DefaultOptions()
	d.Nodes, d.Workers, d.Zones, d.ShardsPerZone = 0, 0, l.deploy.zones, l.deploy.shardsPerZone
	// Each shard gets racks also in a small cluster.
	d.RackSize = min(rackSize, max(1, o.Workers/(len(l.deploy.zones)*l.deploy.shardsPerZone*racksPerShard)))
	d.Upstream, d.Logger = l.deploy.upstream, slog.New(slog.DiscardHandler)
	var err error
	if l.cluster, err = devcluster.Start(d); err != nil {
		return nil, err
	}
	if l.dir, err = os.MkdirTemp("", "medlarpulley-measure-"); err == nil {
		err = l.startNodes()
	}
	if err == nil {
		err = l.publish(ctx)
	}
	if err == nil {
		// Shards appear after all nodes have joined, so that they are spread at
		// once: a node that has just joined gets none from a live owner.
		l.cluster.AddWorkers(o.Workers)
		err = l.awaitWorkers(ctx)
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *lab) startNodes() error {
	for i := range l.o.Nodes {
		p, err := newProcess(l.dir, l.cluster, l.o, i, l.deploy.zones[i%len(l.deploy.zones)], l.deploy.shardsPerZone)
		if err != nil {
			return err
		}
		if err := p.start(l.o.Binary); err != nil {
			return err
		}
		l.processes = append(l.processes, p)
	}
	for _, p := range l.processes {
		if err := p.await(); err != nil {
			return err
		}
	}
	var err error
	l.operator, err = l.client(operatorToken)
	return err
}

// client returns a client of all entry nodes.
func (l *lab) client(key string) (*apiclient.Client, error) {
	var entries []string
	for _, p := range l.processes {
		entries = append(entries, p.address)
	}
	return apiclient.New(apiclient.Options{Entries: entries, Key: key, Spread: true})
}

// publish publishes the example and waits until every node has it.
func (l *lab) publish(ctx context.Context) error {
	changes, err := devcluster.ExampleChanges(l.o.Example)
	if err != nil {
		return err
	}
	set, err := objects.Apply(nil, changes)
	if err != nil {
		return err
	}
	l.contract = set.Contract(1)
	var revision uint64
	err = retry(ctx, readyLimit, func() error {
		result, err := l.operator.Publish(ctx, gateway.Publication{ID: uuid.NewString(), Author: "measure", Changes: changes})
		revision = result.Revision
		return err
	})
	if err != nil {
		return err
	}
	return retry(ctx, readyLimit, func() error {
		status, err := l.operator.RevisionStatus(ctx, revision)
		if err == nil && status.InForce < l.o.Nodes {
			err = eris.Errorf("revision is in force on %d of %d nodes", status.InForce, l.o.Nodes)
		}
		return err
	})
}

// awaitWorkers returns when the owners have adopted every worker.
func (l *lab) awaitWorkers(ctx context.Context) error {
	return retry(ctx, readyLimit, func() error {
		adopted := 0
		for _, p := range l.processes {
			for _, s := range l.dump(ctx, p).Shards {
				for _, h := range s.Hosts {
					if h.Adopted {
						adopted++
					}
				}
			}
		}
		if adopted < l.o.Workers {
			return fmt.Errorf("%d of %d workers are adopted", adopted, l.o.Workers)
		}
		return nil
	})
}

// close ends the processes that this lab started, and the stand-ins.
func (l *lab) close() {
	for _, p := range l.processes {
		p.kill()
	}
	l.cluster.Close()
	_ = os.RemoveAll(l.dir)
}

// retry repeats f until it succeeds, limit has passed or ctx ends.
func retry(ctx context.Context, limit time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := f()
		if err == nil || !ctxtime.Sleep(ctx, poll) {
			return err
		}
	}
}
