package objects

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Canonical decodes the JSON of one object strictly and returns its canonical
// form. The error is Faults.
func Canonical(o Object) (json.RawMessage, error) {
	s, c := newSet(), &checker{}
	c.decode(s, o)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return s.Objects()[0].Spec, nil
}

// decode adds o to s and records its faults.
func (c *checker) decode(s *Set, o Object) {
	ref := o.Ref()
	s.files[ref] = o.File
	if !o.Kind.Known() {
		c.addFaultInFile(o.File, ref, "kind", string(o.Kind), fmt.Sprintf("one of %v", Kinds))
		return
	}
	if !validName(o.Name) {
		c.addFaultInFile(o.File, ref, "name", o.Name, nameRule)
	}
	if len(o.Spec) > MaxSpecBytes {
		c.addFaultInFile(o.File, ref, "spec", fmt.Sprintf("%d bytes", len(o.Spec)), fmt.Sprintf("at most %d bytes", MaxSpecBytes))
		return
	}
	switch o.Kind {
	case KindUnit:
		decodeInto(c, o, s.Units, Unit{})
	case KindLimit:
		decodeInto(c, o, s.Limits, Limit{})
	case KindShare:
		decodeInto(c, o, s.Shares, Share{})
	case KindTeam:
		decodeInto(c, o, s.Teams, Team{})
	case KindKey:
		decodeInto(c, o, s.Keys, Key{})
	case KindQueue:
		decodeInto(c, o, s.Queues, Queue{})
	case KindPolicy:
		decodeInto(c, o, s.Policies, DefaultPolicy())
	case KindUpstream:
		decodeInto(c, o, s.Upstreams, DefaultUpstream())
	}
}

// decodeInto decodes an object over the defaults in value and stores it.
func decodeInto[T any](c *checker, o Object, into map[string]T, value T) {
	if _, dup := into[o.Name]; dup {
		c.addFaultInFile(o.File, o.Ref(), "name", o.Name, fmt.Sprintf("a name that no other %s has", o.Kind))
		return
	}
	if field, got, err := decodeStrict(o.Spec, &value); err != nil {
		c.addFaultInFile(o.File, o.Ref(), field, got, err.Error())
	}
	// The object is stored even if it has a fault, so that references to it are
	// not reported as faults too.
	into[o.Name] = value
}

// decodeStrict decodes exactly one JSON object without unknown fields. On an error
// it returns the invalid field and its value; the error says what would be
// accepted.
func decodeStrict(data []byte, into any) (field, value string, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		return "spec", truncate(string(data)), errors.New("a JSON object")
	}
	err = d.Decode(into)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &wrongType):
		return wrongType.Field, wrongType.Value, fmt.Errorf("a value of type %s", wrongType.Type)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return name, "", errors.New("no such field; see docs/objects.md")
	default:
		return "spec", truncate(string(data)), err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return "spec", truncate(string(data)), errors.New("one JSON object and nothing after it")
	}
	return "", "", nil
}

// truncate shortens a value for display in a fault.
func truncate(s string) string {
	const maxBytes = 80
	if len(s) > maxBytes {
		return strings.ToValidUTF8(s[:maxBytes], "") + "..."
	}
	return s
}
