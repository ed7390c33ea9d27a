package cli

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// readChanges reads files of objects. For a directory, it reads its *.toml
// files whose names do not begin with "settings". If the files can be read but
// have faults, the error is objects.Faults and the changes are those that could
// be parsed.
func readChanges(paths []string) ([]objects.Change, error) {
	files, err := expandDirectories(paths)
	if err != nil {
		return nil, usageError{err}
	}
	var changes []objects.Change
	var faults objects.Faults
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, usageError{err}
		}
		part, err := objects.ParseTOML(f, data)
		changes = append(changes, part...)
		var fileFaults objects.Faults
		if errors.As(err, &fileFaults) {
			faults = append(faults, fileFaults...)
		}
	}
	if len(faults) > 0 {
		return changes, faults
	}
	return changes, nil
}

func expandDirectories(paths []string) ([]string, error) {
	var out []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			out = append(out, p)
			continue
		}
		files, err := filepath.Glob(filepath.Join(p, "*.toml"))
		if err != nil {
			return nil, err
		}
		out = append(out, slices.DeleteFunc(files, func(f string) bool {
			return strings.HasPrefix(filepath.Base(f), "settings")
		})...)
	}
	return out, nil
}

// applyFiles returns the set of objects after the changes in files. The error
// holds all faults of the files and of the set.
func applyFiles(current []objects.Object, paths []string) (*objects.Set, error) {
	changes, err := readChanges(paths)
	var faults objects.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, err
	}
	set, err := objects.Apply(current, changes)
	var setFaults objects.Faults
	if errors.As(err, &setFaults) {
		faults = append(faults, setFaults...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}
