package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

func (a *app) addJobCommands() {
	a.jobCommand("status", "Show what is known about a job.", func(ctx context.Context, c *apiclient.Client, id string) error {
		status, err := c.Status(ctx, id)
		if err != nil {
			return err
		}
		return a.printJob(status, false)
	})
	a.jobCommand("cancel", "Cancel a job.", func(ctx context.Context, c *apiclient.Client, id string) error {
		status, err := c.Cancel(ctx, id)
		if err != nil {
			return err
		}
		return a.printJob(status, false)
	})
	a.jobCommand("explain", "Say why a job waits or where it runs.", func(ctx context.Context, c *apiclient.Client, id string) error {
		e, err := c.Explain(ctx, id)
		if err != nil {
			return err
		}
		return a.printExplanation(e)
	})
}

func (a *app) jobCommand(name, help string, do func(context.Context, *apiclient.Client, string) error) {
	var id string
	cmd := a.command(name, help, func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		return do(ctx, client, id)
	})
	cmd.Arg("job", "Id of the job.").Required().StringVar(&id)
}

// printJob prints the status of a job. If the command waited for the job, the exit
// code depends on how the job ended.
func (a *app) printJob(s gateway.JobStatus, waited bool) error {
	row := table.Row{s.ID, s.Team, s.Queue, s.State, tasksText(s.Tasks), s.Execution, s.Reason}
	if err := a.print(s, table.Row{"job", "team", "queue", "state", "tasks", "execution", "reason"}, []table.Row{row}); err != nil {
		return err
	}
	if !waited {
		return nil
	}
	return waitedExitError(s)
}

// waitedExitError returns the exit code for a job that the command waited for;
// nil if all its tasks succeeded.
func waitedExitError(s gateway.JobStatus) error {
	total := int32(0)
	for _, n := range s.Tasks {
		total += n
	}
	switch {
	case s.State == gateway.StateEnded && s.Tasks[work.Succeeded.String()] == total:
		return nil
	case s.State == gateway.StateEnded && s.Execution == verdict.DidRun:
		return exitError(ExitWorkFailed)
	case s.State == gateway.StateEnded && s.Execution == verdict.DidNotRun:
		return exitError(ExitRefused)
	default:
		return exitError(ExitMayHaveRun)
	}
}

func tasksText(tasks map[string]int32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(tasks)) {
		parts = append(parts, fmt.Sprintf("%d %s", tasks[name], name))
	}
	return strings.Join(parts, ", ")
}

func (a *app) printExplanation(e gateway.Explanation) error {
	var rows []table.Row
	for _, r := range e.Reasons {
		rows = append(rows, table.Row{"waits", r.Code, r.Tasks, r.Detail})
	}
	for _, reason := range slices.Sorted(maps.Keys(e.Hosts)) {
		rows = append(rows, table.Row{"hosts", reason, e.Hosts[reason], ""})
	}
	for _, p := range e.Running {
		rows = append(rows, table.Row{"runs", fmt.Sprintf("task %d", p.Task), p.Attempt, p.Host + " in " + p.Shard})
	}
	return a.print(e, table.Row{e.State, "reason", "count", "detail"}, rows)
}
