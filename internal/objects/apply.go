package objects

import "fmt"

// Apply returns the checked set after the changes to a list of objects. The
// error is Faults and lists every fault of the changes and of the resulting
// set. An object that is changed twice, or withdrawn without existing, is a
// fault.
func Apply(current []Object, changes []Change) (*Set, error) {
	c := &checker{set: newSet()}
	for _, o := range current {
		c.decode(c.set, o)
	}
	return c.apply(changes)
}

// Apply returns the checked set after the changes and leaves s as it is. It
// decodes only what is changed.
func (s *Set) Apply(changes []Change) (*Set, error) {
	c := &checker{set: s.clone()}
	return c.apply(changes)
}

func (c *checker) apply(changes []Change) (*Set, error) {
	c.withdrawn = map[Ref]bool{}
	changed := make(map[Ref]bool, len(changes))
	for _, ch := range changes {
		ref := ch.Ref()
		if changed[ref] {
			c.add(ch.File, ref, "name", ch.Name, fmt.Sprintf("a name that no other %s has", ch.Kind))
			continue
		}
		changed[ref] = true
		existed := c.set.remove(ref)
		switch {
		case !ch.Withdrawn:
			c.decode(c.set, Object{Kind: ch.Kind, Name: ch.Name, Spec: ch.Spec, File: ch.File})
		case !existed:
			c.add(ch.File, ref, "withdrawn", ch.Name, "the name of a published object")
		case len(ch.Spec) > 0:
			c.add(ch.File, ref, "spec", string(ch.Spec), "no spec for a withdrawn object")
		default:
			c.withdrawn[ref] = true
		}
	}
	return c.finish()
}
