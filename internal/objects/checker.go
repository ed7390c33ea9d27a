package objects

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// checker validates a set and collects its faults.
type checker struct {
	set       *Set
	withdrawn map[Ref]bool
	faults    Faults
}

// addFaultInFile records a fault of an object in the given file; addFault looks
// the file up in the set.
func (c *checker) addFaultInFile(file string, ref Ref, field, value, accepted string) {
	c.faults = append(c.faults, Fault{File: file, Object: ref.String(), Field: field, Value: truncate(value), Accepted: accepted})
}

func (c *checker) addFault(ref Ref, field, value, accepted string) {
	c.addFaultInFile(c.set.files[ref], ref, field, value, accepted)
}

// checkRange records a fault unless low <= value <= high, and reports whether the
// value is valid.
func (c *checker) checkRange(ref Ref, field string, value, low, high int64) bool {
	if value >= low && value <= high {
		return true
	}
	c.addFault(ref, field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	return false
}

// checkReference records a fault unless the named object exists, and reports
// whether it does.
func checkReference[T any](c *checker, from Ref, field string, kind Kind, name string, in map[string]T) bool {
	if _, ok := in[name]; ok {
		return true
	}
	accepted := fmt.Sprintf("the name of a %s%s", kind, describeNames(in))
	if c.withdrawn[Ref{kind, name}] {
		accepted = fmt.Sprintf("a %s that is not withdrawn in the same publication%s", kind, describeNames(in))
	}
	c.addFault(from, field, name, accepted)
	return false
}

// describeNames lists the existing names of a kind, or the first few of them, for
// a fault.
func describeNames[T any](in map[string]T) string {
	const shown = 8
	names := slices.Sorted(maps.Keys(in))
	if len(names) == 0 {
		return " (none is published)"
	}
	if len(names) > shown {
		return fmt.Sprintf(", such as %v and %d more", names[:shown], len(names)-shown)
	}
	return fmt.Sprintf(", one of %v", names)
}

// checkedSet validates the set as a whole and returns it, or all faults sorted by
// file, object and field.
func (c *checker) checkedSet() (*Set, error) {
	if n := c.set.len(); n > MaxObjects {
		c.addFaultInFile("", Ref{}, "objects", strconv.Itoa(n), fmt.Sprintf("at most %d objects", MaxObjects))
		return nil, c.faults
	}
	c.checkAll()
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int {
			return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field))
		})
		return nil, slices.Compact(c.faults)
	}
	return c.set, nil
}

// forEachSorted calls check for each object in the order of names, so that faults
// are deterministic.
func forEachSorted[T any](kind Kind, in map[string]T, check func(Ref, T)) {
	for _, name := range slices.Sorted(maps.Keys(in)) {
		check(Ref{kind, name}, in[name])
	}
}

func (c *checker) checkAll() {
	forEachSorted(KindUnit, c.set.Units, c.checkUnit)
	c.checkUnitWordsUnique()
	forEachSorted(KindLimit, c.set.Limits, c.checkLimit)
	forEachSorted(KindShare, c.set.Shares, c.checkShare)
	forEachSorted(KindTeam, c.set.Teams, c.checkTeam)
	c.checkShareSum()
	forEachSorted(KindKey, c.set.Keys, c.checkKey)
	forEachSorted(KindQueue, c.set.Queues, c.checkQueue)
	forEachSorted(KindPolicy, c.set.Policies, c.checkPolicy)
	forEachSorted(KindUpstream, c.set.Upstreams, c.checkUpstream)
}
