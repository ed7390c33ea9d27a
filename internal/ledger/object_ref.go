package ledger

import "strings"

// ObjectRef names an object.
type ObjectRef struct {
	Kind string
	Name string
}

// key returns the map key of the reference. A kind contains no slash.
func (r ObjectRef) key() string { return r.Kind + "/" + r.Name }

// valid reports whether the key of r is unambiguous and bounded.
func (r ObjectRef) valid() bool {
	return validName(r.Kind) && validName(r.Name) && !strings.Contains(r.Kind, "/")
}

func validName(s string) bool { return s != "" && len(s) <= MaxName }
