package settings

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes bounds the size of a settings file, and of a token file.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file and reads the token file that it
// names. The error is Faults.
func Load(path string) (Settings, error) {
	data, err := readBounded(path)
	if err != nil {
		return Settings{}, Faults{{path, "file", err.Error(), "a readable TOML file of at most 1 MiB"}}
	}
	s, err := Parse(path, data)
	if err != nil || s.Operator.TokenFile == "" {
		return s, err
	}
	token, err := readBounded(s.Operator.TokenFile)
	s.Operator.Token = strings.TrimSpace(string(token))
	if err != nil || s.Operator.Token == "" {
		return Settings{}, Faults{{path, "operator.token_file", s.Operator.TokenFile, "a readable file that holds a token"}}
	}
	return s, nil
}

func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("more than %d bytes", maxFileBytes)
	}
	return data, err
}

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	var s Settings
	for _, row := range Table() {
		if row.Required {
			continue
		}
		if err := row.set(&s, defaultValue(row)); err != nil {
			panic(fmt.Sprintf("default of %s: %v", row.Key, err))
		}
	}
	return s
}

// defaultValue returns the default of a row in the form that row.set takes.
func defaultValue(row Setting) any {
	if strings.HasPrefix(row.Unit, "a whole number") {
		return defaultText(row.Default)
	}
	return row.Default
}

// Parse parses and validates the content of a settings file as a whole. The error
// is Faults and lists every fault.
func Parse(file string, data []byte) (Settings, error) {
	var tables map[string]any
	if err := toml.Unmarshal(data, &tables); err != nil {
		return Settings{}, Faults{{file, "syntax", err.Error(), "a TOML file; see docs/settings.md"}}
	}
	values := map[string]any{}
	flattenKeys("", tables, values)
	s := Default()
	var faults Faults
	for _, row := range Table() {
		value, ok := values[row.Key]
		delete(values, row.Key)
		if !ok && row.Required {
			faults = append(faults, Fault{file, row.Key, "", row.accepted()})
		}
		if !ok {
			continue
		}
		if err := row.set(&s, value); err != nil {
			faults = append(faults, Fault{file, row.Key, fmt.Sprint(value), err.Error()})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		faults = append(faults, Fault{file, key, fmt.Sprint(values[key]), "no such setting; see docs/settings.md"})
	}
	if len(faults) == 0 {
		faults = checkCombinations(file, s)
	}
	if len(faults) > 0 {
		return Settings{}, faults
	}
	return s, nil
}

// flattenKeys stores the values of nested tables in out by their dotted keys.
func flattenKeys(prefix string, tree, out map[string]any) {
	for key, value := range tree {
		if sub, ok := value.(map[string]any); ok && len(sub) > 0 {
			flattenKeys(prefix+key+".", sub, out)
			continue
		}
		out[prefix+key] = value
	}
}
