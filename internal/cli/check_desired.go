package cli

import (
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/desiredcheck"
	"github.com/medlarpulley/medlarpulley/platform"
)

// desiredLine is one line of the output of check-desired.
type desiredLine struct {
	Severity desiredcheck.Severity `json:"severity"`
	File     string                `json:"file"`
	Object   string                `json:"object"`
	Field    string                `json:"field"`
	Value    string                `json:"value"`
	Accepted string                `json:"accepted"`
}

func (a *app) addCheckDesired() {
	var file, current string
	cmd := a.command("check-desired", "Check a desired state before it is written to the platform's store.", func() error {
		lines, err := checkDesired(file, current)
		if err != nil {
			return usageError{err}
		}
		return a.printDesired(lines)
	})
	cmd.Arg("file", "File with the desired state, as JSON.").Required().ExistingFileVar(&file)
	cmd.Flag("current", "File with the desired state that is in force; shows what differs.").ExistingFileVar(&current)
}

// checkDesired returns the findings of a file, compared with the file of the current
// desired state if it has a name.
func checkDesired(file, current string) ([]desiredLine, error) {
	d, lines, err := readDesired(file)
	if err != nil {
		return nil, err
	}
	if d != nil {
		lines = append(lines, desiredLines(file, desiredcheck.Check(d))...)
	}
	if current == "" {
		return lines, nil
	}
	old, faults, err := readDesired(current)
	switch {
	case err != nil:
		return nil, err
	case old == nil:
		return append(lines, faults...), nil
	case d == nil:
		return lines, nil
	}
	return append(lines, desiredLines(file, desiredcheck.Compare(d, old))...), nil
}

// readDesired reads a file. The document is nil if it cannot be decoded.
func readDesired(file string) (*cell.DesiredDocument, []desiredLine, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	d, faults := platform.DecodeDesiredDocument(data)
	var lines []desiredLine
	for _, f := range faults {
		lines = append(lines, desiredLine{desiredcheck.Error, file, f.Object, f.Field, f.Value, f.Accepted})
	}
	return d, lines, nil
}

func desiredLines(file string, findings []desiredcheck.Finding) []desiredLine {
	var lines []desiredLine
	for _, f := range findings {
		lines = append(lines, desiredLine{f.Severity, file, desiredObject(f.Object), platform.DesiredFieldName(f.Field), f.Value, f.Accepted})
	}
	return lines
}

// desiredObject returns the name of an object in the document: with its index, if it has
// no name.
func desiredObject(o desiredcheck.Object) string {
	kind := platform.DesiredKindName(o.Kind)
	switch {
	case o.Kind == cell.DesiredWhole || o.Kind == cell.DesiredLimits:
		return kind
	case o.Name == "":
		return fmt.Sprintf("%s[%d]", kind, o.Index)
	default:
		return fmt.Sprintf("%s[%d] %s", kind, o.Index, cell.Quote(o.Name))
	}
}

func (a *app) printDesired(lines []desiredLine) error {
	rows, valid := []table.Row{}, true
	for _, l := range lines {
		valid = valid && l.Severity != desiredcheck.Error
		rows = append(rows, table.Row{l.Severity, l.File, l.Object, l.Field, l.Value, l.Accepted})
	}
	value := struct {
		Valid    bool          `json:"valid"`
		Findings []desiredLine `json:"findings"`
	}{valid, append([]desiredLine{}, lines...)}
	if err := a.print(value, table.Row{"severity", "file", "object", "field", "value", "accepted or changed"}, rows); err != nil {
		return err
	}
	if !valid {
		return exitError(ExitFailed)
	}
	return nil
}
