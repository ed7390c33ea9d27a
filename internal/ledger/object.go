package ledger

// Object is one named object of the configuration. It is immutable.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Spec is the object in canonical JSON.
	Spec []byte `json:"spec"`
	// Changed is the revision that last changed the object.
	Changed uint64 `json:"changed"`
}
