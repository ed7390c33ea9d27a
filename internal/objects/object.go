package objects

import (
	"cmp"
	"encoding/json"
)

const (
	// MaxObjects bounds the number of objects in one set.
	MaxObjects = 20_000
	// MaxSpecBytes bounds the size of the JSON of one object.
	MaxSpecBytes = 64 << 10
	// MaxNameLength bounds the length of the name of an object in bytes.
	MaxNameLength = 63
)

// Object is one named object encoded as JSON.
type Object struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
	// File is the file that the object was read from; empty if it came over the
	// network.
	File string `json:"-"`
}

// Ref returns the kind and name of o.
func (o Object) Ref() Ref { return Ref{o.Kind, o.Name} }

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the form "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
