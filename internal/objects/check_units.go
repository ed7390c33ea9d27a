package objects

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// maxUnitResource bounds each resource of a unit: about a million cores in
	// milliCPU, or a pebibyte in MiB.
	maxUnitResource = 1 << 30
	maxFactor       = 1 << 20
	// MaxUnitDepth bounds the length of a chain of units that are each defined
	// as a multiple of the next.
	MaxUnitDepth = 16
)

func (c *checker) checkUnit(ref Ref, u Unit) {
	if u.Plural != "" && !validName(u.Plural) {
		c.addFault(ref, "plural", u.Plural, nameRule)
	}
	if u.Of == "" {
		c.checkBaseUnit(ref, u)
		return
	}
	if !u.resources().IsZero() {
		c.addFault(ref, "of", u.Of, "either amounts of resources or another unit with a factor, not both")
	}
	if !c.checkRange(ref, "factor", u.Factor, 1, maxFactor) || !checkReference(c, ref, "of", KindUnit, u.Of, c.set.Units) {
		return
	}
	if _, problem := c.set.unitVector(ref.Name); problem != "" {
		c.addFault(ref, "of", u.Of, problem)
	}
}

func (c *checker) checkBaseUnit(ref Ref, u Unit) {
	if u.Factor != 0 {
		c.addFault(ref, "factor", strconv.FormatInt(u.Factor, 10), "no factor without the field of")
	}
	ok := c.checkRange(ref, "milli_cpu", u.MilliCPU, 0, maxUnitResource)
	ok = c.checkRange(ref, "memory_mib", u.MemoryMiB, 0, maxUnitResource) && ok
	ok = c.checkRange(ref, "accelerators", u.Accelerators, 0, maxUnitResource) && ok
	if ok && u.resources().IsZero() {
		c.addFault(ref, "milli_cpu", "0", "at least one of milli_cpu, memory_mib and accelerators above 0, or the field of")
	}
}

// checkUnitWordsUnique records a fault for each name or plural that denotes two
// units. Explicit plurals are checked last, so that the fault is reported on the
// unit whose plural can be changed.
func (c *checker) checkUnitWordsUnique() {
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
				c.addFault(Ref{KindUnit, name}, "plural", word, fmt.Sprintf("a word that unit/%s does not use", other))
				continue
			}
			owner[word] = name
		}
	}
}

// unitVector returns the resources of one unit. If they cannot be determined, the
// second result says what would be accepted; otherwise it is empty.
func (s *Set) unitVector(name string) (resource.Vector, string) {
	factor, unit := int64(1), s.Units[name]
	for range MaxUnitDepth {
		if unit.Of == "" {
			v, ok := scale(unit.resources(), factor)
			if !ok || max(v.MilliCPU, v.MemoryMiB, v.Accelerators) > maxUnitResource {
				return resource.Vector{}, fmt.Sprintf("a unit of at most %d of each resource", maxUnitResource)
			}
			return v, ""
		}
		if unit.Factor < 1 || factor > maxUnitResource/unit.Factor {
			return resource.Vector{}, fmt.Sprintf("a unit of at most %d of each resource", maxUnitResource)
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

// resolveUnit returns the name of the unit whose name or plural is word.
func (s *Set) resolveUnit(word string) (string, bool) {
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
