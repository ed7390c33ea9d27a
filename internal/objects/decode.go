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

// decode adds o to s or records its faults.
func (c *checker) decode(s *Set, o Object) {
	ref := o.Ref()
	s.files[ref] = o.File
	if !o.Kind.Known() {
		c.add(o.File, ref, "kind", string(o.Kind), fmt.Sprintf("one of %v", Kinds))
		return
	}
	if !validName(o.Name) {
		c.add(o.File, ref, "name", o.Name, nameRule)
	}
	if len(o.Spec) > MaxSpecBytes {
		c.add(o.File, ref, "spec", fmt.Sprintf("%d bytes", len(o.Spec)), fmt.Sprintf("at most %d bytes", MaxSpecBytes))
		return
	}
	switch o.Kind {
	case KindUnit:
		put(c, o, s.Units, Unit{})
	case KindLimit:
		put(c, o, s.Limits, Limit{})
	case KindShare:
		put(c, o, s.Shares, Share{})
	case KindTeam:
		put(c, o, s.Teams, Team{})
	case KindKey:
		put(c, o, s.Keys, Key{})
	case KindQueue:
		put(c, o, s.Queues, Queue{})
	case KindPolicy:
		put(c, o, s.Policies, DefaultPolicy())
	case KindUpstream:
		put(c, o, s.Upstreams, DefaultUpstream())
	}
}

func put[T any](c *checker, o Object, into map[string]T, value T) {
	if _, dup := into[o.Name]; dup {
		c.add(o.File, o.Ref(), "name", o.Name, fmt.Sprintf("a name that no other %s has", o.Kind))
		return
	}
	if field, got, err := decodeStrict(o.Spec, &value); err != nil {
		c.add(o.File, o.Ref(), field, got, err.Error())
	}
	// The object is kept even if it has a fault, so that references to it are
	// not reported as dangling.
	into[o.Name] = value
}

// decodeStrict decodes one JSON object. On an error it returns the field and
// the value at fault; the error says what would be accepted.
func decodeStrict(data []byte, into any) (field, value string, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		return "spec", clip(string(data)), errors.New("a JSON object")
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
		return "spec", clip(string(data)), err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return "spec", clip(string(data)), errors.New("one JSON object and nothing after it")
	}
	return "", "", nil
}

// clip shortens a value for a fault.
func clip(s string) string {
	const limit = 80
	if len(s) > limit {
		return strings.ToValidUTF8(s[:limit], "") + "..."
	}
	return s
}
