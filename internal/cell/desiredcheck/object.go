package desiredcheck

import "github.com/medlarpulley/medlarpulley/internal/cell"

// Object identifies an object of a document. Index is its position among those of its
// kind, for objects whose name is missing or not unique.
type Object struct {
	Kind  cell.DesiredKind
	Name  string
	Index int
}
