package objects

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a field that is missing in docs/objects.md, and against a field
// that has different names in JSON and TOML.
func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/objects.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, s := range strings.Split(string(page), "\n## ")[1:] {
		name, text, _ := strings.Cut(s, "\n")
		sections[name] = text
	}
	for kind, spec := range map[Kind]any{KindUnit: Unit{}, KindLimit: Limit{}, KindShare: Share{}, KindTeam: Team{}, KindKey: Key{},
		KindQueue: Queue{}, KindPolicy: Policy{}, KindUpstream: Upstream{}} {
		typ := reflect.TypeOf(spec)
		for i := range typ.NumField() {
			json, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if toml := typ.Field(i).Tag.Get("toml"); toml != json {
				t.Errorf("%s has the field %q in JSON and %q in TOML", kind, json, toml)
			}
			if !strings.Contains(sections[string(kind)], "`"+json+"`") {
				t.Errorf("docs/objects.md does not have %s.%s", kind, json)
			}
		}
	}
}
