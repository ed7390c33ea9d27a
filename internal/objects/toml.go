package objects

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes bounds the size of one TOML file of objects.
const MaxFileBytes = 8 << 20

// maxPassesPerObject bounds how often one object is decoded; each pass removes the
// fields in which it finds faults.
const maxPassesPerObject = 64

type tomlTable = map[string]any

// objectFile is the content of one TOML file: one array of tables per kind.
type objectFile struct {
	Unit     []tomlTable `toml:"unit"`
	Limit    []tomlTable `toml:"limit"`
	Share    []tomlTable `toml:"share"`
	Team     []tomlTable `toml:"team"`
	Key      []tomlTable `toml:"key"`
	Queue    []tomlTable `toml:"queue"`
	Policy   []tomlTable `toml:"policy"`
	Upstream []tomlTable `toml:"upstream"`
	Withdraw []struct {
		Kind Kind   `toml:"kind"`
		Name string `toml:"name"`
	} `toml:"withdraw"`
}

// ParseTOML decodes the changes in one file. The error is Faults and lists every
// fault that can be detected without the other files.
func ParseTOML(name string, data []byte) ([]Change, error) {
	c := &checker{set: newSet()}
	if len(data) > MaxFileBytes {
		c.addFaultInFile(name, Ref{}, "file", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, c.faults
	}
	var f objectFile
	c.tomlFaults(name, "file", decodeTOML(data, &f))
	var out []Change
	read := func(kind Kind, tables []tomlTable, into func() any) {
		for _, t := range tables {
			out = append(out, c.convertTable(name, kind, t, into))
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

// convertTable converts one table to a change. Fields with faults are removed and
// the rest is decoded again, so that one call finds the faults of all fields.
func (c *checker) convertTable(file string, kind Kind, t tomlTable, into func() any) Change {
	name, ok := t["name"].(string)
	if !ok {
		c.addFaultInFile(file, Ref{kind, "?"}, "name", fmt.Sprint(t["name"]), nameRule)
	}
	delete(t, "name")
	ref := Ref{kind, name}
	target := into()
	for range maxPassesPerObject {
		data, err := toml.Marshal(t)
		if err != nil {
			c.addFaultInFile(file, ref, "spec", err.Error(), "a TOML table")
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
		c.addFaultInFile(file, ref, "spec", err.Error(), "a value that can be encoded as JSON")
	}
	return Change{Kind: kind, Name: name, Spec: spec, File: file}
}

func decodeTOML(data []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
}

// tomlFaults records the faults in an error of the TOML decoder and returns the
// top-level keys that they concern.
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
		c.faults = append(c.faults, Fault{File: file, Object: object, Field: field, Value: truncate(value), Accepted: accepted})
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
