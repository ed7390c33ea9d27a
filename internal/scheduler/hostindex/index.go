// Package hostindex finds hosts by free room without scanning all of them.
package hostindex

import (
	"math/bits"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// Classes is the number of classes of one resource.
	Classes = 64
	// boundaryBudget bounds the hosts looked at in classes that may or may not
	// fit, before classes that certainly fit are looked at.
	boundaryBudget = 32
	absent         = -1
)

// Index groups hosts by the logarithm of their free processors and memory,
// four classes to a factor of two, apart for hosts with accelerators.
type Index struct {
	tables [2]table
	at     []position
}

type table struct {
	rows  uint64
	cols  [Classes]uint64
	cells [Classes][Classes][]int32
}

type position struct {
	table, slot int32
	row, col    int32
}

// Set puts host i at its free room. A host without processors or memory is left out.
func (x *Index) Set(i int, free resource.Vector, accelerators bool) {
	for len(x.at) <= i {
		x.at = append(x.at, position{table: absent})
	}
	p := position{table: absent}
	if free.MilliCPU > 0 && free.MemoryMiB > 0 {
		p = position{row: int32(Class(free.MilliCPU)), col: int32(Class(free.MemoryMiB))}
		if accelerators {
			p.table = 1
		}
	}
	old := x.at[i]
	if old.table == p.table && old.row == p.row && old.col == p.col {
		return
	}
	x.drop(old)
	if p.table != absent {
		t := &x.tables[p.table]
		cell := &t.cells[p.row][p.col]
		p.slot = int32(len(*cell))
		*cell = append(*cell, int32(i))
		t.cols[p.row] |= 1 << p.col
		t.rows |= 1 << p.row
	}
	x.at[i] = p
}

func (x *Index) drop(p position) {
	if p.table == absent {
		return
	}
	t := &x.tables[p.table]
	cell := &t.cells[p.row][p.col]
	last := (*cell)[len(*cell)-1]
	(*cell)[p.slot] = last
	x.at[last].slot = p.slot
	*cell = (*cell)[:len(*cell)-1]
	if len(*cell) == 0 {
		t.cols[p.row] &^= 1 << p.col
		if t.cols[p.row] == 0 {
			t.rows &^= 1 << p.row
		}
	}
}

// Visit calls f for hosts that may hold size until f returns false. Fullest
// hosts come first if pack is set, else emptiest. Hosts without accelerators
// come before those with. Every host that fits is visited unless f ends it.
func (x *Index) Visit(size resource.Vector, pack bool, f func(i int) bool) {
	for k := range x.tables {
		if k == 0 && size.Accelerators > 0 {
			continue
		}
		t := &x.tables[k]
		skipped := false
		if !t.visit(size, pack, boundaryBudget, &skipped, f) {
			return
		}
		if skipped && !t.boundary(size, f) {
			return
		}
	}
}

func (t *table) visit(size resource.Vector, pack bool, budget int, skipped *bool, f func(int) bool) bool {
	row0, col0 := Class(size.MilliCPU), Class(size.MemoryMiB)
	for rows := t.rows &^ (1<<row0 - 1); rows != 0; {
		r := pick(&rows, pack)
		for cols := t.cols[r] &^ (1<<col0 - 1); cols != 0; {
			c := pick(&cols, pack)
			edge := r == row0 || c == col0
			for _, i := range t.cells[r][c] {
				if edge {
					if budget == 0 {
						*skipped = true
						break
					}
					budget--
				}
				if !f(int(i)) {
					return false
				}
			}
		}
	}
	return true
}

// boundary visits every host of the classes that may or may not fit.
func (t *table) boundary(size resource.Vector, f func(int) bool) bool {
	row0, col0 := Class(size.MilliCPU), Class(size.MemoryMiB)
	for r := row0; r < Classes; r++ {
		for c := col0; c < Classes; c++ {
			if r != row0 && c != col0 {
				break
			}
			for _, i := range t.cells[r][c] {
				if !f(int(i)) {
					return false
				}
			}
		}
	}
	return true
}

func pick(set *uint64, low bool) int {
	i := bits.TrailingZeros64(*set)
	if !low {
		i = 63 - bits.LeadingZeros64(*set)
	}
	*set &^= 1 << i
	return i
}

// Class returns four times the binary logarithm of n, rounded down.
func Class(n int64) int {
	if n < 16 {
		return 0
	}
	l := bits.Len64(uint64(n)) - 1
	return min(4*(l-4)+int(n>>(l-2)&3), Classes-1)
}
