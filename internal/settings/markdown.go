package settings

import (
	"fmt"
	"strings"
)

// Markdown renders the table of settings as the content of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe settings of one entry process, read from a TOML file by `medlarpulley serve -c FILE`.\n" +
		"This page is rendered from the code by `medlarpulley settings --markdown`.\n\n" +
		"A file is checked as a whole before the process starts. An unknown key, a value in a wrong unit, a value out of range " +
		"and a combination that cannot work are refused, each with file, field, value and what would be accepted.\n" +
		"In the file, the part of a key before the dot is the name of a TOML table.\n")
	section := ""
	for _, row := range Table() {
		if s, _, _ := strings.Cut(row.Key, "."); s != section {
			section = s
			fmt.Fprintf(&b, "\n## %s\n\n| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n", section)
		}
		def := "none"
		switch {
		case row.Required:
			def = "required"
		case row.Default != "":
			def = "`" + row.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", row.Key, row.Unit, def, row.Range, row.Doc)
	}
	return b.String()
}
