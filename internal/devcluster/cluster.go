package devcluster

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/node"
	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
	"github.com/medlarpulley/medlarpulley/internal/settings"
	standinhosts "github.com/medlarpulley/medlarpulley/internal/standin/hostlist"
	standinlog "github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	standinrunner "github.com/medlarpulley/medlarpulley/internal/standin/runner"
	standinworker "github.com/medlarpulley/medlarpulley/internal/standin/worker"
)

// Cluster is a running cluster of entry nodes and stand-ins for the platform.
type Cluster struct {
	options Options
	// Log, Hosts, Fleet and Runners are the stand-ins. Tests inject faults into
	// them and read what they recorded.
	Log     *standinlog.Service
	Hosts   *standinhosts.Service
	Fleet   *standinworker.Fleet
	Runners []*standinrunner.Runner
	Members []*Member

	logServer  *standinlog.Server
	listServer *standinhosts.Server
	closeOnce  sync.Once
}

// Start starts the stand-ins and then the entry nodes. It closes everything that
// has been started if it fails.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{options: o, Log: standinlog.New(true), Hosts: standinhosts.New(time.Now)}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	for i := range o.Nodes {
		m := &Member{Name: fmt.Sprintf("entry-%d", i+1), Zone: o.Zones[i%len(o.Zones)]}
		c.Members = append(c.Members, m)
		if err := c.StartMember(m); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// startPlatform starts the stand-ins for the log, the host list, the workers and
// the runners.
func (c *Cluster) startPlatform() (err error) {
	if c.logServer, err = standinlog.Serve(c.Log, ""); err != nil {
		return err
	}
	if c.listServer, err = standinhosts.Serve(c.Hosts, ""); err != nil {
		return err
	}
	if c.Fleet, err = standinworker.NewFleet(); err != nil {
		return err
	}
	for i := range c.options.Workers {
		c.addWorker(i)
	}
	for i := range c.options.Runners {
		if err := c.addRunner(i); err != nil {
			return err
		}
	}
	return nil
}

// addWorker adds worker number i. Each rack takes RackSize workers, and the racks
// are assigned to the zones in turn.
func (c *Cluster) addWorker(i int) {
	o := c.options
	id := fmt.Sprintf("worker-%03d", i)
	rack := i / o.RackSize
	zone := o.Zones[rack%len(o.Zones)]
	c.Fleet.Add(id, o.WorkerSize)
	c.Hosts.Put(hostlist.Host{
		ID: id, Role: hostlist.RoleWorker, Address: c.Fleet.Address(id), Zone: zone, Region: "region-1",
		Rack: fmt.Sprintf("rack-%02d", rack), Capacity: o.WorkerSize,
	})
}

// addRunner starts runner number i and adds it to the host list.
func (c *Cluster) addRunner(i int) error {
	r, err := standinrunner.Start()
	if err != nil {
		return err
	}
	c.Runners = append(c.Runners, r)
	c.Hosts.Put(hostlist.Host{
		ID: fmt.Sprintf("runner-%03d", i), Role: hostlist.RoleRunner, Address: r.Address(),
		Zone: c.options.Zones[i%len(c.options.Zones)], Region: "region-1", Rack: "runners",
		Slots: standinrunner.Slots, Upstream: c.options.Upstream,
	})
	return nil
}

// StartMember starts the entry node of m, or restarts it after it has stopped.
func (c *Cluster) StartMember(m *Member) error {
	s := settings.Default()
	s.Node = settings.Node{Name: m.Name, Zone: m.Zone, Region: "region-1"}
	s.Listen.HTTP, s.Listen.Peer, s.Listen.Metrics = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if len(c.Members) > 0 && m == c.Members[0] && c.options.HTTP != "" {
		s.Listen.HTTP = c.options.HTTP
	}
	s.Platform.LogURL, s.Platform.HostListURL = c.logServer.URL(), c.listServer.URL()
	s.Cluster.Nodes, s.Cluster.ShardsPerZone = c.options.Nodes, c.options.ShardsPerZone
	s.Operator.Token = c.options.OperatorToken
	s.Timing.DrainWait = drainWait
	if c.options.Adjust != nil {
		c.options.Adjust(&s)
	}
	n, err := node.New(s, c.options.Logger.With("node", m.Name))
	if err != nil {
		return eris.Wrapf(err, "start %s", m.Name)
	}
	m.run(n)
	return nil
}

// Addresses returns the HTTP addresses of all members.
func (c *Cluster) Addresses() []string {
	out := make([]string, 0, len(c.Members))
	for _, m := range c.Members {
		out = append(out, m.Address())
	}
	return out
}

// LogURL returns the address of the stand-in for the log.
func (c *Cluster) LogURL() string { return c.logServer.URL() }

// HostListURL returns the address of the stand-in for the host list.
func (c *Cluster) HostListURL() string { return c.listServer.URL() }

// Close kills all entry nodes and closes the stand-ins. Repeated calls have no
// effect.
func (c *Cluster) Close() {
	c.closeOnce.Do(func() {
		for _, m := range c.Members {
			if m.Node() != nil {
				m.Kill()
			}
		}
		if c.Fleet != nil {
			c.Fleet.Close()
		}
		for _, r := range c.Runners {
			r.Close()
		}
		if c.listServer != nil {
			_ = c.listServer.Close()
		}
		if c.logServer != nil {
			_ = c.logServer.Close()
		}
	})
}
