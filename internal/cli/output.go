package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/settings"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// print writes a value as JSON, or rows as a table.
func (a *app) print(value any, header table.Row, rows []table.Row) error {
	if a.output == "json" {
		return a.printJSON(value)
	}
	t := newTable(header, rows)
	_, err := fmt.Fprintln(a.std.Out, t.Render())
	return err
}

// newTable returns a table in the style of all commands.
func newTable(header table.Row, rows []table.Row) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.Style().Options.SeparateColumns = false
	t.AppendHeader(header)
	t.AppendRows(rows)
	return t
}

func (a *app) printJSON(value any) error {
	e := json.NewEncoder(a.std.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(value)
}

// report prints the error of a command as text to the error stream, and with
// -o json also as an object to the output.
func (a *app) report(err error) {
	var done exitError
	if errors.As(err, &done) {
		return
	}
	p := describe(err)
	if a.output == "json" {
		_ = a.printJSON(struct {
			Error gateway.Problem `json:"error"`
		}{p})
	}
	fmt.Fprintf(a.std.Err, "medlarpulley: %s\n", p.Message)
	for _, f := range p.Faults {
		fmt.Fprintf(a.std.Err, "  %s\n", f)
	}
	if p.Conflict != nil {
		for _, c := range p.Conflict.Changes {
			fmt.Fprintf(a.std.Err, "  changed meanwhile: %s\n", c.Ref())
		}
		fmt.Fprintf(a.std.Err, "  current revision: %d\n", p.Conflict.Revision)
	}
	if p.Code != "" {
		fmt.Fprintf(a.std.Err, "  code %s, verdict %s\n", p.Code, p.Verdict)
	}
}

// describe converts any error into a problem that can be printed.
func describe(err error) gateway.Problem {
	var remote *apiclient.RemoteError
	var withVerdict *verdict.Error
	var objectFaults objects.Faults
	var settingFaults settings.Faults
	switch {
	case errors.As(err, &remote):
		p := remote.Problem
		p.Message = remote.Error()
		if errors.As(err, &withVerdict) {
			p.Verdict = withVerdict.Verdict
		}
		return p
	case errors.As(err, &withVerdict):
		return gateway.Problem{Verdict: withVerdict.Verdict, Code: withVerdict.Code, Message: withVerdict.Err.Error()}
	case errors.As(err, &objectFaults):
		return gateway.Problem{Verdict: verdict.DidNotRun, Code: gateway.CodeInvalidObjects, Faults: objectFaults,
			Message: fmt.Sprintf("the set of objects has %d faults", len(objectFaults))}
	case errors.As(err, &settingFaults):
		return gateway.Problem{Verdict: verdict.DidNotRun, Message: "the settings are refused:\n" + settingFaults.Error()}
	default:
		return gateway.Problem{Message: eris.ToString(err, false)}
	}
}
