package objects

import (
	"bytes"
	"slices"
)

// Diff returns the changes that transform one list of objects into another,
// sorted by kind and name. Both lists must be in canonical form, as Set.Objects
// returns them.
func Diff(from, to []Object) []Change {
	old := byRef(from)
	var out []Change
	for _, o := range to {
		before, exists := old[o.Ref()]
		delete(old, o.Ref())
		if !exists || !bytes.Equal(before.Spec, o.Spec) {
			out = append(out, Change{Kind: o.Kind, Name: o.Name, Spec: o.Spec, File: o.File})
		}
	}
	for _, o := range from {
		if _, gone := old[o.Ref()]; gone {
			out = append(out, Change{Kind: o.Kind, Name: o.Name, Withdrawn: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return compareRefs(a.Ref(), b.Ref()) })
	return out
}

func byRef(list []Object) map[Ref]Object {
	m := make(map[Ref]Object, len(list))
	for _, o := range list {
		m[o.Ref()] = o
	}
	return m
}
