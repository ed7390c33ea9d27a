package cli

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/medlarpulley/medlarpulley/internal/measure"
)

func (a *app) addMeasure() {
	var o measure.Options
	cmd := a.command("measure", "Run a cluster with stand-ins under load and measure waiting time, packing, control-plane cost and deviation from fair share.", func() error {
		if err := o.Check(); err != nil {
			return usageError{err}
		}
		a.discardLibraryLogs()
		proc.SetTimeToForceQuit(forceQuitMargin)
		r, err := a.handlers.Measure(a.ctx, o)
		if err != nil {
			return err
		}
		return a.printMeasures(r)
	})
	cmd.Flag("example", "Example whose objects are published.").Default("grantveji").EnumVar(&o.Example, "grantveji", "hawkrest", "design-size")
	cmd.Flag("faults", "Kill a worker and an entry node and make the log unavailable.").BoolVar(&o.Faults)
	cmd.Flag("duration", "Length of the load.").Default("20s").DurationVar(&o.Duration)
	cmd.Flag("nodes", "Number of entry nodes, each in a process of its own.").Default("4").IntVar(&o.Nodes)
	cmd.Flag("workers", "Number of workers.").Default("24").IntVar(&o.Workers)
	cmd.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("slopes", "Measure the cost of control idle and at --running and --rate instead of the mixed load.").BoolVar(&o.Slopes)
	cmd.Flag("running", "Long tasks to keep running; with --slopes.").IntVar(&o.Running)
	cmd.Flag("rate", "Task starts a second; with --slopes.").IntVar(&o.Rate)
	cmd.Flag("kill", "Kill the owner with the most shards after the load; with --slopes.").BoolVar(&o.Kill)
	cmd.Flag("plot", "Directory for SVG files of the mixed load.").StringVar(&o.Plot)
}

// printMeasures prints the report as JSON or as tables.
func (a *app) printMeasures(r measure.Report) error {
	if a.output == "json" {
		return a.printJSON(r)
	}
	var waits, shares, costs []table.Row
	for _, w := range r.Waiting {
		waits = append(waits, table.Row{w.Class, w.Team, w.Started, w.Waiting, formatMillis(w.P50), formatMillis(w.P99), formatMillis(w.P999)})
	}
	for _, s := range r.Shares {
		shares = append(shares, table.Row{s.Team, formatTenths(s.Used), formatTenths(s.Entitled), formatTenths(s.Deviation)})
	}
	if r.Idle != nil {
		costs = append(costs, costRows("idle", *r.Idle)...)
	}
	costs = append(costs, costRows("loaded", r.Loaded)...)
	a.printTable(table.Row{"class", "team", "started", "not started", "p50", "p99", "p99.9"}, waits)
	a.printTable(table.Row{"team", "used %", "entitled %", "off %"}, shares)
	a.printTable(table.Row{"load", "process", "shards", "core %", "memory MB", "peak MB", "peer B/s"}, costs)
	a.printTotals(r)
	return nil
}

func (a *app) printTable(header table.Row, rows []table.Row) {
	if len(rows) > 0 {
		fmt.Fprintf(a.std.Out, "%s\n\n", newTable(header, rows).Render())
	}
}

func (a *app) printTotals(r measure.Report) {
	out := a.std.Out
	if p := r.Packing; p != nil {
		fmt.Fprintf(out, "packing: %.1f %% of %s over %d samples with a queue\n", p.Percent, p.Resource, p.Samples)
	}
	if q := r.Requests; q != nil {
		fmt.Fprintf(out, "requests: %d of %d ok, p50 %s, p99 %s, p99.9 %s\n", q.OK, q.Sent, formatMillis(q.P50), formatMillis(q.P99), formatMillis(q.P999))
	}
	if r.Idle != nil {
		a.printCost("idle", *r.Idle)
	}
	a.printCost("loaded", r.Loaded)
	fmt.Fprintf(out, "submissions refused: %d\n", r.Refused)
	fmt.Fprintf(out, "hosts over capacity or tasks in two places: %d\n", len(r.Violations))
	if t := r.Takeover; t != nil {
		fmt.Fprintf(out, "takeover: %d shards, workers of the last shard adopted after %.2f s (%d shards not adopted), it places tasks after %.2f s (%d shards do not); replacement serves after %.2f s\n",
			t.Shards, t.AdoptedSeconds, t.NotAdopted, t.Seconds, t.NotRecovered, t.RestartSeconds)
	}
	for _, f := range r.InjectedFaults {
		fmt.Fprintf(out, "fault at %s\n", f)
	}
}

func (a *app) printCost(name string, c measure.Cost) {
	fmt.Fprintf(a.std.Out, "%s, all nodes: %.1f starts/s, %d running, %.1f appends/s; worker exchanges %.1f/s, to workers %.0f B/s, from workers %.0f B/s; to log %.0f B/s, from log %.0f B/s; from host list %.0f B/s; records/s %v\n",
		name, c.Starts, c.Running, c.Appends, c.WorkerExchanges, c.WorkerBytesIn, c.WorkerBytesOut, c.LogBytesIn, c.LogBytesOut, c.HostListBytesOut, c.Records)
}

func costRows(load string, c measure.Cost) (rows []table.Row) {
	for _, n := range c.Nodes {
		rows = append(rows, table.Row{load, n.Node, n.Shards, formatTenths(n.CorePercent), formatTenths(n.MemoryMB), formatTenths(n.PeakMB), int(n.PeerBytes)})
	}
	return rows
}

func formatMillis(v float64) string {
	return (time.Duration(v*1000) * time.Microsecond).Round(100 * time.Microsecond).String()
}

func formatTenths(v float64) string { return fmt.Sprintf("%.1f", v) }
