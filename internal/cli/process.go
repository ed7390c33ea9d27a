package cli

import (
	"encoding/json"
	"errors"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
)

func (a *app) addDump() {
	a.command("dump", "Show the state of the process at each --entry as JSON.", func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		states := map[string]json.RawMessage{}
		var failed error
		for _, entry := range client.Entries() {
			state, err := client.Dump(ctx, entry)
			if err != nil {
				failed = errors.Join(failed, err)
				continue
			}
			states[entry] = state
		}
		// A dump has no fixed columns, so it is printed as JSON in both output
		// formats.
		if err := a.printJSON(states); err != nil {
			return err
		}
		return failed
	})
}

func (a *app) addDrain() {
	a.command("drain", "Begin a planned stop of the entry node at --entry.", func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		if len(client.Entries()) != 1 {
			return usageError{eris.New("drain takes exactly one --entry")}
		}
		entry := client.Entries()[0]
		if err := client.Drain(ctx, entry); err != nil {
			return err
		}
		return a.print(struct {
			Entry    string `json:"entry"`
			Draining bool   `json:"draining"`
		}{entry, true}, table.Row{"entry", "state"}, []table.Row{{entry, "draining"}})
	})
}
