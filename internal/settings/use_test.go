package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"
)

// Guards against a setting that no code reads, so that changing it has no effect.
// TokenFile is exempt: it is read while the settings file is loaded.
func TestEverySettingIsRead(t *testing.T) {
	var code []byte
	for _, pattern := range []string{"../node/*.go", "../cli/*.go", "../../cmd/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %v", pattern, files, err)
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			code = append(code, data...)
		}
	}
	sections := reflect.TypeFor[Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i).Type
		for j := range section.NumField() {
			name := section.Field(j).Name
			if name != "TokenFile" && !regexp.MustCompile(`\.`+name+`\b`).Match(code) {
				t.Errorf("nothing reads %s.%s", section.Name(), name)
			}
		}
	}
}
