package objects

import (
	"fmt"
	"slices"
)

// Apply returns the checked set after the changes. The error is Faults and
// lists every fault of the changes and of the resulting set. An object that
// is changed twice or withdrawn without existing is a fault.
func Apply(current []Object, changes []Change) (*Set, error) {
	c := &checker{set: newSet()}
	merged, withdrawn := byRef(current), map[Ref]bool{}
	changed := map[Ref]bool{}
	var order []Ref
	for _, o := range current {
		order = append(order, o.Ref())
	}
	for _, ch := range changes {
		ref := ch.Ref()
		if changed[ref] {
			c.add(ch.File, ref, "name", ch.Name, fmt.Sprintf("a name that no other %s has", ch.Kind))
			continue
		}
		changed[ref] = true
		_, exists := merged[ref]
		switch {
		case !ch.Withdrawn:
			if !exists {
				order = append(order, ref)
			}
			merged[ref] = Object{Kind: ch.Kind, Name: ch.Name, Spec: ch.Spec, File: ch.File}
		case !exists:
			c.add(ch.File, ref, "withdrawn", ch.Name, "the name of a published object")
		case len(ch.Spec) > 0:
			c.add(ch.File, ref, "spec", string(ch.Spec), "no spec for a withdrawn object")
		default:
			withdrawn[ref] = true
			delete(merged, ref)
		}
	}
	list := make([]Object, 0, len(merged))
	for _, ref := range order {
		if o, ok := merged[ref]; ok {
			list = append(list, o)
		}
	}
	set, err := newChecked(list, withdrawn)
	if err != nil {
		c.faults = append(c.faults, err.(Faults)...)
	}
	if len(c.faults) > 0 {
		return nil, slices.Clip(c.faults)
	}
	return set, nil
}
