package cli

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/settings"
)

func (a *app) addSettings() {
	var markdown bool
	var file string
	cmd := a.command("settings", "List the settings of an entry node, or check a settings file.", func() error {
		if file != "" {
			if _, err := settings.Load(file); err != nil {
				return err
			}
		}
		if markdown {
			_, err := fmt.Fprint(a.std.Out, settings.Markdown())
			return err
		}
		return a.listSettings()
	})
	cmd.Flag("markdown", "Print docs/settings.md.").BoolVar(&markdown)
	cmd.Flag("config", "Check this file first.").Short('c').ExistingFileVar(&file)
}

func (a *app) listSettings() error {
	type row struct {
		Key      string `json:"key"`
		Unit     string `json:"unit"`
		Default  string `json:"default"`
		Range    string `json:"range,omitempty"`
		Required bool   `json:"required,omitempty"`
		Doc      string `json:"doc"`
	}
	var list []row
	var rows []table.Row
	for _, s := range settings.Table() {
		list = append(list, row{s.Key, s.Unit, s.Default, s.Range, s.Required, s.Doc})
		rows = append(rows, table.Row{s.Key, s.Default, s.Range, s.Doc})
	}
	return a.print(list, table.Row{"setting", "default", "range", "meaning"}, rows)
}
