package cli

import (
	"errors"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

func (a *app) addCheck() {
	var files, base []string
	cmd := a.command("check", "Check files of objects without a cluster.", func() error {
		var current []objects.Object
		if len(base) > 0 {
			set, err := applyFiles(nil, base)
			if err != nil {
				return err
			}
			current = set.Objects()
		}
		set, err := applyFiles(current, files)
		var faults objects.Faults
		if errors.As(err, &faults) {
			return a.printFaults(faults)
		}
		if err != nil {
			return err
		}
		return a.printCounts(set)
	})
	cmd.Arg("files", "Files or directories of objects.").Required().ExistingFilesOrDirsVar(&files)
	cmd.Flag("base", "Files or directories that the others change; may be repeated.").ExistingFilesOrDirsVar(&base)
}

func (a *app) printFaults(faults objects.Faults) error {
	var rows []table.Row
	for _, f := range faults {
		rows = append(rows, table.Row{f.File, f.Object, f.Field, f.Value, f.Accepted})
	}
	value := struct {
		Valid  bool           `json:"valid"`
		Faults objects.Faults `json:"faults"`
	}{false, faults}
	if err := a.print(value, table.Row{"file", "object", "field", "value", "accepted"}, rows); err != nil {
		return err
	}
	return exitError(ExitRefused)
}

func (a *app) printCounts(set *objects.Set) error {
	counts := map[objects.Kind]int{}
	for _, o := range set.Objects() {
		counts[o.Kind]++
	}
	var rows []table.Row
	for _, kind := range objects.Kinds {
		rows = append(rows, table.Row{kind, counts[kind]})
	}
	value := struct {
		Valid   bool                 `json:"valid"`
		Objects map[objects.Kind]int `json:"objects"`
	}{true, counts}
	return a.print(value, table.Row{"kind", "valid objects"}, rows)
}
