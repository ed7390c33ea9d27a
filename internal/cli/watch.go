package cli

import (
	"encoding/json"
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
)

func (a *app) addWatch() {
	var id string
	var position uint64
	cmd := a.command("watch", "Follow the events of a job until it has ended.", func() error {
		a.connect.timeout = 0
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		return client.Watch(ctx, id, position, a.printEvent)
	})
	cmd.Arg("job", "Id of the job.").Required().StringVar(&id)
	cmd.Flag("position", "Position of the first event; one above the last one that was seen.").Uint64Var(&position)
}

// printEvent prints an event as one line as soon as it arrives; a table could be
// printed only after the last event.
func (a *app) printEvent(e gateway.JobEvent) error {
	if a.output == "json" {
		return json.NewEncoder(a.std.Out).Encode(e)
	}
	task := "job"
	if e.Task >= 0 {
		task = fmt.Sprintf("task %d", e.Task)
	}
	_, err := fmt.Fprintf(a.std.Out, "%8d  %-12s %-11s %-14s %s %s\n", e.Position, task, e.State, e.Verdict, e.Host, e.Reason)
	return err
}
