package objects

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// checker collects the faults of a set.
type checker struct {
	set       *Set
	withdrawn map[Ref]bool
	faults    Faults
}

func (c *checker) add(file string, ref Ref, field, value, accepted string) {
	c.faults = append(c.faults, Fault{File: file, Object: ref.String(), Field: field, Value: clip(value), Accepted: accepted})
}

func (c *checker) fault(ref Ref, field, value, accepted string) {
	c.add(c.set.files[ref], ref, field, value, accepted)
}

// within records a fault unless low <= value <= high.
func (c *checker) within(ref Ref, field string, value, low, high int64) bool {
	if value >= low && value <= high {
		return true
	}
	c.fault(ref, field, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	return false
}

// refers records a fault unless the named object exists.
func refers[T any](c *checker, from Ref, field string, kind Kind, name string, in map[string]T) bool {
	if _, ok := in[name]; ok {
		return true
	}
	accepted := fmt.Sprintf("the name of a %s%s", kind, known(in))
	if c.withdrawn[Ref{kind, name}] {
		accepted = fmt.Sprintf("a %s that is not withdrawn in the same publication%s", kind, known(in))
	}
	c.fault(from, field, name, accepted)
	return false
}

// known lists a few names of a kind for a message.
func known[T any](in map[string]T) string {
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

// finish checks the set as a whole and returns it, or all faults in order.
func (c *checker) finish() (*Set, error) {
	if n := c.set.len(); n > MaxObjects {
		c.add("", Ref{}, "objects", strconv.Itoa(n), fmt.Sprintf("at most %d objects", MaxObjects))
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

func each[T any](kind Kind, in map[string]T, check func(Ref, T)) {
	for _, name := range slices.Sorted(maps.Keys(in)) {
		check(Ref{kind, name}, in[name])
	}
}

func (c *checker) checkAll() {
	each(KindUnit, c.set.Units, c.checkUnit)
	c.checkUnitWords()
	each(KindLimit, c.set.Limits, c.checkLimit)
	each(KindShare, c.set.Shares, c.checkShare)
	each(KindTeam, c.set.Teams, c.checkTeam)
	c.checkShareSum()
	each(KindKey, c.set.Keys, c.checkKey)
	each(KindQueue, c.set.Queues, c.checkQueue)
	each(KindPolicy, c.set.Policies, c.checkPolicy)
	each(KindUpstream, c.set.Upstreams, c.checkUpstream)
}
