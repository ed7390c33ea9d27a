package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/cli/load"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// progressInterval is the interval at which the progress line is updated.
const progressInterval = 500 * time.Millisecond

func (a *app) addLoad() {
	var o load.Options
	cmd := a.command("load", "Send jobs and requests at a fixed rate and report latencies from the intended send times.", func() error {
		if err := o.Check(); err != nil {
			return usageError{err}
		}
		a.discardLibraryLogs()
		conn, err := a.connect.options()
		if err != nil {
			return err
		}
		conn.RoundRobin = true
		conn.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.InFlight, MaxConnsPerHost: 0, IdleConnTimeout: time.Minute}}
		client, err := apiclient.New(conn)
		if err != nil {
			return usageError{err}
		}
		return a.runLoad(o, load.Sender(client, o))
	})
	cmd.Flag("seed", "Seed of the schedule.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("rate", "Operations a second.").Default("50").Float64Var(&o.Rate)
	cmd.Flag("duration", "Length of the schedule.").Default("10s").DurationVar(&o.Duration)
	cmd.Flag("jobs", "Percent of the operations that are job submissions; the rest are requests.").Default("50").IntVar(&o.JobPercent)
	cmd.Flag("non-idempotent", "Percent of the requests that are non-idempotent.").Default("20").IntVar(&o.NonIdempotentPercent)
	cmd.Flag("urgent", "Percent of the operations of class urgent.").Default("5").IntVar(&o.UrgentPercent)
	cmd.Flag("queue", "Queue of the jobs.").StringVar(&o.Queue)
	cmd.Flag("team", "Team of the jobs; that of the key if not given.").StringVar(&o.Team)
	cmd.Flag("upstream", "Upstream of the requests.").StringVar(&o.Upstream)
	cmd.Flag("path", "Path of the requests.").Default("/").StringVar(&o.Path)
	cmd.Flag("deadline", "Deadline of each operation.").Default("10s").DurationVar(&o.Deadline)
	cmd.Flag("in-flight", "Most operations in flight; those beyond it are counted as not sent.").Default("1000").IntVar(&o.InFlight)
}

func (a *app) runLoad(o load.Options, send load.Send) error {
	run := load.New(o, send)
	ctx, cancel := context.WithCancel(a.ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if isTerminal(a.std.Err) {
			a.showProgress(ctx, run)
		}
	}()
	run.Run(a.ctx)
	cancel()
	<-stopped
	return a.printLoad(run.Report())
}

func (a *app) showProgress(ctx context.Context, run *load.Run) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprint(a.std.Err, "\r\033[K")
			return
		case <-ticker.C:
			sent, ended, total := run.Progress()
			fmt.Fprintf(a.std.Err, "\r\033[K%d of %d sent, %d ended", sent, total, ended)
		}
	}
}

func (a *app) printLoad(r load.Report) error {
	var rows []table.Row
	for _, k := range r.Kinds {
		rows = append(rows, table.Row{k.Kind, k.Planned, k.NotSent, k.OK, k.Failures[verdict.DidNotRun.String()], k.Failures[verdict.MayHaveRun.String()], k.Failures[verdict.DidRun.String()],
			k.P50, k.P90, k.P99, k.P999, k.Max})
	}
	header := table.Row{"kind", "planned", "not sent", "ok", "did not run", "may have run", "failed", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"}
	return a.print(r, header, rows)
}
