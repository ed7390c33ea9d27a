package objects

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes bounds one file of objects.
const MaxFileBytes = 8 << 20

// maxFaultsPerObject bounds the passes over one object with several faults.
const maxFaultsPerObject = 64

type table = map[string]any

// file is one TOML file: arrays of tables, one array for each kind.
type file struct {
	Unit     []table `toml:"unit"`
	Limit    []table `toml:"limit"`
	Share    []table `toml:"share"`
	Team     []table `toml:"team"`
	Key      []table `toml:"key"`
	Queue    []table `toml:"queue"`
	Policy   []table `toml:"policy"`
	Upstream []table `toml:"upstream"`
	Withdraw []struct {
		Kind Kind   `toml:"kind"`
		Name string `toml:"name"`
	} `toml:"withdraw"`
}

// ParseTOML reads the changes in one file. The error is Faults and lists every
// fault that can be seen without the other files.
func ParseTOML(name string, data []byte) ([]Change, error) {
	c := &checker{set: newSet()}
	if len(data) > MaxFileBytes {
		c.add(name, Ref{}, "file", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, c.faults
	}
	var f file
	c.tomlFaults(name, "file", decodeTOML(data, &f))
	var out []Change
	read := func(kind Kind, tables []table, into func() any) {
		for _, t := range tables {
			out = append(out, c.object(name, kind, t, into))
		}
	}
	read(KindUnit, f.Unit, func() any { return &Unit{} })
	read(KindLimit, f.Limit, func() any { return &Limit{} })
	read(KindShare, f.Share, func() any { return &Share{} })
	read(KindTeam, f.Team, func() any { return &Team{} })
	read(KindKey, f.Key, func() any { return &Key{} })
	read(KindQueue, f.Queue, func() any { return &Queue{} })
	read(KindPolicy, f.Policy, func() any { p := DefaultPolicy(); return &p })
	read(KindUpstream, f.Upstream, func() any { u := DefaultUpstream(); return &u })
	for _, w := range f.Withdraw {
		out = append(out, Change{Kind: w.Kind, Name: w.Name, Withdrawn: true, File: name})
	}
	if len(c.faults) > 0 {
		return out, c.faults
	}
	return out, nil
}

// object converts one table. Fields at fault are left out, so that one pass
// finds the faults of all fields.
func (c *checker) object(file string, kind Kind, t table, into func() any) Change {
	name, ok := t["name"].(string)
	if !ok {
		c.add(file, Ref{kind, "?"}, "name", fmt.Sprint(t["name"]), nameRule)
	}
	delete(t, "name")
	ref := Ref{kind, name}
	target := into()
	for range maxFaultsPerObject {
		data, err := toml.Marshal(t)
		if err != nil {
			c.add(file, ref, "spec", err.Error(), "a TOML table")
			break
		}
		target = into()
		keys := c.tomlFaults(file, ref.String(), decodeTOML(data, target))
		before := len(t)
		for _, key := range keys {
			delete(t, key)
		}
		if len(t) == before {
			break
		}
	}
	spec, err := json.Marshal(target)
	if err != nil {
		c.add(file, ref, "spec", err.Error(), "a value with a JSON form")
	}
	return Change{Kind: kind, Name: name, Spec: spec, File: file}
}

func decodeTOML(data []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
}

// tomlFaults records the faults of a TOML document and returns the top-level
// keys that they are in.
func (c *checker) tomlFaults(file, object string, err error) []string {
	if err == nil {
		return nil
	}
	var keys []string
	add := func(key toml.Key, value, accepted string) {
		field := strings.Join(key, ".")
		if len(key) > 0 {
			keys = append(keys, key[0])
		} else {
			keys, field = append(keys, ""), "syntax"
		}
		c.faults = append(c.faults, Fault{File: file, Object: object, Field: field, Value: clip(value), Accepted: accepted})
	}
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			add(e.Key(), "", "no such field; see docs/objects.md")
		}
	case errors.As(err, &one):
		row, _ := one.Position()
		value := one.Error()
		if len(one.Key()) == 0 {
			value = fmt.Sprintf("line %d: %s", row, value)
		}
		add(one.Key(), value, "a value of the documented type; see docs/objects.md")
	default:
		add(nil, err.Error(), "a TOML file of objects; see docs/objects.md")
	}
	return keys
}
