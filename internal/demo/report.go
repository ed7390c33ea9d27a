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

// report prints what became of every piece of work and the measures.
func report(ctx context.Context, out io.Writer, c *devcluster.Cluster, all []demoJob, statuses map[string]gateway.JobStatus, ends []requestEnd) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{"job", "team", "kind", "class", "state", "execution", "tasks"})
	for _, j := range all {
		s := statuses[j.spec.ID]
		t.AppendRow(table.Row{j.spec.ID, j.spec.Team, j.spec.Kind, j.spec.Class, s.State, s.Execution, counts(s.Tasks)})
	}
	t.Render()
	reportRequests(out, ends)
	reportWaits(ctx, out, c)
}

// counts formats task counts in a fixed order.
func counts(tasks map[string]int32) string {
	parts := make([]string, 0, len(tasks))
	for state, n := range tasks {
		parts = append(parts, fmt.Sprintf("%s %d", state, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// reportRequests prints the ends of the requests by verdict.
func reportRequests(out io.Writer, ends []requestEnd) {
	byVerdict := map[string]int{}
	took := make([]time.Duration, 0, len(ends))
	for _, e := range ends {
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

// reportWaits prints the waiting times that the live nodes measured.
func reportWaits(ctx context.Context, out io.Writer, c *devcluster.Cluster) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(table.Row{"node", "class", "starts", "waiting p50", "waiting p99", "longest"})
	operator, err := c.Operator()
	if err != nil {
		return
	}
	for _, m := range c.Members {
		raw, err := operator.Dump(ctx, "http://"+m.Address())
		// The rest of a dump is for people: actions of the scheduler have no
		// form that can be read back.
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
