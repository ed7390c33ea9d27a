package objects

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// maxUnitPart bounds one resource of a unit: a million cores in milliCPU,
	// or a pebibyte in MiB.
	maxUnitPart = 1 << 30
	maxFactor   = 1 << 20
	// MaxUnitDepth bounds a chain of units that are defined by another unit.
	MaxUnitDepth = 16
)

func (c *checker) checkUnit(ref Ref, u Unit) {
	if u.Plural != "" && !validName(u.Plural) {
		c.fault(ref, "plural", u.Plural, nameRule)
	}
	if u.Of == "" {
		c.checkOwnUnit(ref, u)
		return
	}
	if !u.own().IsZero() {
		c.fault(ref, "of", u.Of, "either amounts of resources or another unit with a factor, not both")
	}
	if !c.within(ref, "factor", u.Factor, 1, maxFactor) || !refers(c, ref, "of", KindUnit, u.Of, c.set.Units) {
		return
	}
	if _, why := c.set.unitVector(ref.Name); why != "" {
		c.fault(ref, "of", u.Of, why)
	}
}

func (c *checker) checkOwnUnit(ref Ref, u Unit) {
	if u.Factor != 0 {
		c.fault(ref, "factor", strconv.FormatInt(u.Factor, 10), "no factor without the field of")
	}
	ok := c.within(ref, "milli_cpu", u.MilliCPU, 0, maxUnitPart)
	ok = c.within(ref, "memory_mib", u.MemoryMiB, 0, maxUnitPart) && ok
	ok = c.within(ref, "accelerators", u.Accelerators, 0, maxUnitPart) && ok
	if ok && u.own().IsZero() {
		c.fault(ref, "milli_cpu", "0", "at least one of milli_cpu, memory_mib and accelerators above 0, or the field of")
	}
}

// checkUnitWords refuses a word that means two units. Explicit plurals are
// looked at last, so that the fault is reported where it can be corrected.
func (c *checker) checkUnitWords() {
	names := slices.Sorted(maps.Keys(c.set.Units))
	owner := map[string]string{}
	for _, name := range names {
		owner[name] = name
	}
	for _, explicit := range []bool{false, true} {
		for _, name := range names {
			unit := c.set.Units[name]
			if (unit.Plural != "") != explicit {
				continue
			}
			word := unit.plural(name)
			if other, taken := owner[word]; taken && other != name {
				c.fault(Ref{KindUnit, name}, "plural", word, fmt.Sprintf("a word that unit/%s does not use", other))
				continue
			}
			owner[word] = name
		}
	}
}

// unitVector returns what one unit consists of, or why it has no size.
func (s *Set) unitVector(name string) (resource.Vector, string) {
	factor, unit := int64(1), s.Units[name]
	for range MaxUnitDepth {
		if unit.Of == "" {
			v, ok := scale(unit.own(), factor)
			if !ok || max(v.MilliCPU, v.MemoryMiB, v.Accelerators) > maxUnitPart {
				return resource.Vector{}, fmt.Sprintf("a unit of at most %d of each resource", maxUnitPart)
			}
			return v, ""
		}
		if unit.Factor < 1 || factor > maxUnitPart/unit.Factor {
			return resource.Vector{}, fmt.Sprintf("a unit of at most %d of each resource", maxUnitPart)
		}
		factor *= unit.Factor
		next, ok := s.Units[unit.Of]
		if !ok {
			return resource.Vector{}, fmt.Sprintf("a chain of units that ends in resources; unit/%s is missing", unit.Of)
		}
		unit = next
	}
	return resource.Vector{}, fmt.Sprintf("a chain of at most %d units without a cycle", MaxUnitDepth)
}

// unitOf returns the unit that a word names.
func (s *Set) unitOf(word string) (string, bool) {
	if _, ok := s.Units[word]; ok {
		return word, true
	}
	for _, name := range slices.Sorted(maps.Keys(s.Units)) {
		if s.Units[name].plural(name) == word {
			return name, true
		}
	}
	return "", false
}
