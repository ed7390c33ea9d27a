package objects

import "encoding/json"

// Change is one part of a publication: an object that is added or replaced,
// or one that is withdrawn.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Spec is the new object; empty if the object is withdrawn.
	Spec      json.RawMessage `json:"spec,omitempty"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	// File is where the change was read from.
	File string `json:"-"`
}

// Ref returns the kind and name of the changed object.
func (c Change) Ref() Ref { return Ref{c.Kind, c.Name} }
