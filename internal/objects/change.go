package objects

import "encoding/json"

// Change is one change of a publication: it adds, replaces or withdraws an
// object.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Spec is the JSON of the new object; empty if the object is withdrawn.
	Spec      json.RawMessage `json:"spec,omitempty"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	// File is the file that the change was read from; empty if it came over the
	// network.
	File string `json:"-"`
}

// Ref returns the kind and name of the changed object.
func (c Change) Ref() Ref { return Ref{c.Kind, c.Name} }
