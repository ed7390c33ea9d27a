package objects

import "fmt"

// Apply applies changes to a list of objects and returns the validated result.
// The error is Faults and lists every fault of the changes and of the resulting
// set. Changing an object twice, or withdrawing one that does not exist, is a
// fault.
func Apply(current []Object, changes []Change) (*Set, error) {
	c := &checker{set: newSet()}
	for _, o := range current {
		c.decode(c.set, o)
	}
	return c.apply(changes)
}

// Apply applies changes to a copy of s and returns the validated result; s is not
// modified. It decodes only the changed objects. The error is as for the function
// Apply.
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
			c.addFaultInFile(ch.File, ref, "name", ch.Name, fmt.Sprintf("a name that no other %s has", ch.Kind))
			continue
		}
		changed[ref] = true
		existed := c.set.remove(ref)
		switch {
		case !ch.Withdrawn:
			c.decode(c.set, Object{Kind: ch.Kind, Name: ch.Name, Spec: ch.Spec, File: ch.File})
		case !existed:
			c.addFaultInFile(ch.File, ref, "withdrawn", ch.Name, "the name of a published object")
		case len(ch.Spec) > 0:
			c.addFaultInFile(ch.File, ref, "spec", string(ch.Spec), "no spec for a withdrawn object")
		default:
			c.withdrawn[ref] = true
		}
	}
	return c.checkedSet()
}
