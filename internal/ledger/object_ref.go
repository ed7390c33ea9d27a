package ledger

import "strings"

// ObjectRef identifies a configuration object.
type ObjectRef struct {
	Kind string
	Name string
}

// key returns the key of the object in maps. It is unambiguous because a kind
// contains no slash.
func (r ObjectRef) key() string { return r.Kind + "/" + r.Name }

// isValid reports whether the key of r is unambiguous and of bounded length.
func (r ObjectRef) isValid() bool {
	return isValidName(r.Kind) && isValidName(r.Name) && !strings.Contains(r.Kind, "/")
}

func isValidName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
