package measure

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// idleWindow is the time over which the idle cost is measured.
	idleWindow = 5 * time.Second
	// quietTime without a transfer of allotment shows that the limits have been
	// spread over the shards, which takes limits / 4 seconds after the start.
	quietTime = 3 * time.Second
	// warmUp is the part of a mixed run that is left out of packing and shares.
	warmUp = 3
)

// Run runs one measurement.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	r := Report{Example: o.Example, Nodes: o.Nodes, Workers: o.Workers, Faults: o.Faults, Seconds: o.Duration.Seconds()}
	l, err := newLab(ctx, o)
	if err != nil {
		return r, eris.Wrap(err, "start the cluster")
	}
	defer l.close()
	d, err := newLoad(l)
	if err != nil {
		return r, err
	}
	if o.Slopes {
		err = l.runSlopes(ctx, d, &r)
	} else {
		err = l.runMixed(ctx, d, &r)
	}
	executions := l.cluster.Fleet.Journal().Executions()
	r.Broken = append(standin.CheckHosts(executions), standin.CheckOnePlace(executions)...)
	return r, err
}

// runMixed measures under the mixed load.
func (l *lab) runMixed(ctx context.Context, d *load, r *Report) error {
	f := &faults{lab: l}
	before := l.read(ctx, true)
	began := l.cluster.Fleet.Journal().Now()
	loadCtx, cancel := context.WithTimeout(ctx, l.o.Duration)
	defer cancel()
	if l.o.Faults {
		go f.run(loadCtx)
	}
	d.mixed(loadCtx)
	ended := began + l.o.Duration
	r.Loaded = l.cost(before, l.read(ctx, false))
	executions := l.cluster.Fleet.Journal().Executions()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Waiting, r.Refused, r.Faulted = waitingTimes(d.jobs, executions), d.refused, f.done
	samples := samplesOf(d.jobs, executions, began+l.o.Duration/warmUp, ended)
	r.Packing, r.Shares = packing(samples, f.capacity), l.shares(d.teams, samples, f.capacity)
	r.Requests = &RequestStats{
		Sent: d.sent, OK: len(d.requests), P50: quantile(d.requests, 0.5), P99: quantile(d.requests, 0.99), P999: quantile(d.requests, 0.999),
	}
	r.series = points(samplesOf(d.jobs, executions, began, ended), f.capacity)
	if l.o.Plot != "" {
		if err := plotReport(l.o.Plot, *r); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// runSlopes measures idle and then with running tasks and a rate of starts.
func (l *lab) runSlopes(ctx context.Context, d *load, r *Report) error {
	if err := l.awaitAllotments(ctx); err != nil {
		return err
	}
	idle := l.read(ctx, true)
	ctxtime.Sleep(ctx, idleWindow)
	cost := l.cost(idle, l.read(ctx, false))
	r.Idle = &cost
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); d.slopes(loadCtx) }()
	ctxtime.Sleep(ctx, l.o.Duration/2)
	loaded := l.read(ctx, true)
	ctxtime.Sleep(ctx, l.o.Duration/2)
	r.Loaded = l.cost(loaded, l.read(ctx, false))
	var err error
	if l.o.Kill {
		r.Takeover, err = l.takeover(ctx)
	}
	cancel()
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Refused = d.refused
	r.Waiting = waitingOf(d, l)
	if err != nil {
		return err
	}
	return ctx.Err()
}

// awaitAllotments returns when no allotment has moved for quietTime.
func (l *lab) awaitAllotments(ctx context.Context) error {
	return retry(ctx, readyLimit, func() error {
		before := l.read(ctx, true)
		ctxtime.Sleep(ctx, quietTime)
		if rates := l.recordRates(before, l.read(ctx, false), quietTime.Seconds()); rates["transfer"] > 0 {
			return eris.Errorf("%.0f transfers of allotment a second", rates["transfer"])
		}
		return nil
	})
}

// waitingOf returns the waiting times of all teams together, by class.
func waitingOf(d *load, l *lab) []Waiting {
	for _, j := range d.jobs {
		j.spec.Team = "all"
	}
	return waitingTimes(d.jobs, l.cluster.Fleet.Journal().Executions())
}
