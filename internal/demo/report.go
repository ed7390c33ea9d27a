package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/node"
)

// report prints the final state of every job, the results of the requests and the
// waiting times.
func report(ctx context.Context, out io.Writer, c *devcluster.Cluster, demoJobs []demoJob, statuses map[string]gateway.JobStatus, results []requestResult) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{"job", "team", "kind", "class", "state", "execution", "tasks"})
	for _, j := range demoJobs {
		s := statuses[j.spec.ID]
		t.AppendRow(table.Row{j.spec.ID, j.spec.Team, j.spec.Kind, j.spec.Class, s.State, s.Execution, formatTaskCounts(s.Tasks)})
	}
	t.Render()
	reportRequests(out, results)
	reportWaitingTimes(ctx, out, c)
}

// formatTaskCounts formats the number of tasks by state, sorted by state.
func formatTaskCounts(tasks map[string]int32) string {
	parts := make([]string, 0, len(tasks))
	for state, n := range tasks {
		parts = append(parts, fmt.Sprintf("%s %d", state, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// reportRequests prints the number of requests by verdict, and their latency.
func reportRequests(out io.Writer, results []requestResult) {
	byVerdict := map[string]int{}
	took := make([]time.Duration, 0, len(results))
	for _, e := range results {
		kind := "idempotent"
		if !e.idempotent {
			kind = "non-idempotent"
		}
		byVerdict[kind+" "+e.verdict.String()]++
		took = append(took, e.took)
	}
	slices.Sort(took)
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{"requests", "count"})
	names := make([]string, 0, len(byVerdict))
	for name := range byVerdict {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.AppendRow(table.Row{name, byVerdict[name]})
	}
	t.AppendFooter(table.Row{"latency p50 / p99", fmt.Sprintf("%s / %s", took[len(took)/2].Round(time.Microsecond*10), took[len(took)*99/100].Round(time.Microsecond*10))})
	t.Render()
}

// reportWaitingTimes prints the waiting times that the live nodes measured.
func reportWaitingTimes(ctx context.Context, out io.Writer, c *devcluster.Cluster) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{"node", "class", "starts", "waiting p50", "waiting p99", "longest"})
	operator, err := c.Operator()
	if err != nil {
		return
	}
	for _, m := range c.Members {
		raw, err := operator.Dump(ctx, "http://"+m.Address())
		// Only this part of a dump is decoded: the actions of the scheduler cannot
		// be unmarshalled, the rest of a dump is meant for people.
		var d struct {
			Waits map[string]node.WaitSummary `json:"waits"`
		}
		if err != nil || json.Unmarshal(raw, &d) != nil {
			t.AppendRow(table.Row{m.Name, "no answer"})
			continue
		}
		for _, class := range []string{"urgent", "normal", "background"} {
			if w, ok := d.Waits[class]; ok {
				t.AppendRow(table.Row{m.Name, class, w.Count, w.P50.Round(time.Millisecond), w.P99.Round(time.Millisecond), w.Max.Round(time.Millisecond)})
			}
		}
	}
	t.Render()
}
