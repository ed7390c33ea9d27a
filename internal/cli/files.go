package cli

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// readChanges reads files of objects. A directory stands for its *.toml files
// whose names do not begin with "settings". The error is objects.Faults
// if the files can be read; the changes are complete as far as possible then.
func readChanges(paths []string) ([]objects.Change, error) {
	files, err := expand(paths)
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
		var more objects.Faults
		if errors.As(err, &more) {
			faults = append(faults, more...)
		}
	}
	if len(faults) > 0 {
		return changes, faults
	}
	return changes, nil
}

func expand(paths []string) ([]string, error) {
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

// checkAgainst returns the set after the changes in files. All faults of the
// files and of the set are in one error.
func checkAgainst(current []objects.Object, paths []string) (*objects.Set, error) {
	changes, err := readChanges(paths)
	var faults objects.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, err
	}
	set, err := objects.Apply(current, changes)
	var more objects.Faults
	if errors.As(err, &more) {
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}
