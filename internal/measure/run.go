package measure

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// idleWindow is the length of the measurement of the idle cost.
	idleWindow = 5 * time.Second
	// quietPeriod is how long no allotment must be transferred before the limits
	// count as distributed over the shards. The distribution takes (number of
	// limits / 4) seconds after the start.
	quietPeriod = 3 * time.Second
	// warmUpDivisor sets the warm-up period of a mixed run, which packing and
	// shares leave out: the first 1/warmUpDivisor of the run.
	warmUpDivisor = 3
)

// Run starts a cluster, runs one measurement and returns its report.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	r := Report{Example: o.Example, Nodes: o.Nodes, Workers: o.Workers, Faults: o.Faults, Seconds: o.Duration.Seconds()}
	tb, err := newTestbed(ctx, o)
	if err != nil {
		return r, eris.Wrap(err, "start the cluster")
	}
	defer tb.close()
	d, err := newLoad(tb)
	if err != nil {
		return r, err
	}
	if o.Slopes {
		err = tb.runSlopes(ctx, d, &r)
	} else {
		err = tb.runMixed(ctx, d, &r)
	}
	executions := tb.cluster.Fleet.Journal().Executions()
	r.Violations = append(standin.CheckHosts(executions), standin.CheckNoConcurrentAttempts(executions)...)
	return r, err
}

// runMixed measures waiting times, packing, shares, requests and cost under the
// mixed load.
func (tb *testbed) runMixed(ctx context.Context, d *load, r *Report) error {
	f := &faults{testbed: tb}
	before := tb.readCounters(ctx, true)
	began := tb.cluster.Fleet.Journal().Now()
	loadCtx, cancel := context.WithTimeout(ctx, tb.o.Duration)
	defer cancel()
	if tb.o.Faults {
		go f.run(loadCtx)
	}
	d.mixed(loadCtx)
	ended := began + tb.o.Duration
	r.Loaded = tb.costBetween(before, tb.readCounters(ctx, false))
	executions := tb.cluster.Fleet.Journal().Executions()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Waiting, r.Refused, r.InjectedFaults = waitingTimes(d.jobs, executions), d.refused, f.faultLog
	samples := samplesOf(d.jobs, executions, began+tb.o.Duration/warmUpDivisor, ended)
	r.Packing, r.Shares = packing(samples, f.capacity), tb.shares(d.teams, samples, f.capacity)
	r.Requests = &RequestStats{
		Sent: d.requestsSent, OK: len(d.requestLatencies), P50: quantile(d.requestLatencies, 0.5), P99: quantile(d.requestLatencies, 0.99), P999: quantile(d.requestLatencies, 0.999),
	}
	r.series = plotPoints(samplesOf(d.jobs, executions, began, ended), f.capacity)
	if tb.o.Plot != "" {
		if err := plotReport(tb.o.Plot, *r); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// runSlopes measures the control cost of the idle cluster, and then with long
// tasks running and short tasks started at a fixed rate. The first half of the
// load is left out of the cost.
func (tb *testbed) runSlopes(ctx context.Context, d *load, r *Report) error {
	if err := tb.awaitAllotments(ctx); err != nil {
		return err
	}
	idle := tb.readCounters(ctx, true)
	ctxtime.Sleep(ctx, idleWindow)
	cost := tb.costBetween(idle, tb.readCounters(ctx, false))
	r.Idle = &cost
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); d.longAndShortTasks(loadCtx) }()
	ctxtime.Sleep(ctx, tb.o.Duration/2)
	loaded := tb.readCounters(ctx, true)
	ctxtime.Sleep(ctx, tb.o.Duration/2)
	r.Loaded = tb.costBetween(loaded, tb.readCounters(ctx, false))
	var err error
	if tb.o.Kill {
		r.Takeover, err = tb.takeover(ctx)
	}
	cancel()
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Refused = d.refused
	r.Waiting = waitingByClass(d, tb)
	if err != nil {
		return err
	}
	return ctx.Err()
}

// awaitAllotments returns when no allotment has been transferred for quietPeriod.
func (tb *testbed) awaitAllotments(ctx context.Context) error {
	return retry(ctx, readyTimeout, func() error {
		before := tb.readCounters(ctx, true)
		ctxtime.Sleep(ctx, quietPeriod)
		if rates := tb.recordRates(before, tb.readCounters(ctx, false), quietPeriod.Seconds()); rates["transfer"] > 0 {
			return eris.Errorf("allotments are still transferred, %.0f per second", rates["transfer"])
		}
		return nil
	})
}

// waitingByClass returns the waiting times of all teams together, by class. It
// overwrites the team of every job.
func waitingByClass(d *load, tb *testbed) []Waiting {
	for _, j := range d.jobs {
		j.spec.Team = "all"
	}
	return waitingTimes(d.jobs, tb.cluster.Fleet.Journal().Executions())
}
