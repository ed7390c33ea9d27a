package ledger

// Object is a named configuration object. It is immutable.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Spec is the content of the object in canonical JSON.
	Spec []byte `json:"spec"`
	// Changed is the revision that last changed the object.
	Changed uint64 `json:"changed"`
}
