// Package hostindex finds hosts by their free capacity without a scan of all hosts.
package hostindex

import (
	"math/bits"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// ClassCount is the number of size classes of one resource.
	ClassCount = 64
	// maxBoundaryHosts bounds the hosts visited in boundary classes, whose hosts
	// may be too small, before all classes that certainly fit are visited.
	maxBoundaryHosts = 32
	// noTable is the table of a host that is not in the index.
	noTable = -1
)

// Index groups hosts by the size classes of their free processors and memory. The
// classes are logarithmic, four to a factor of two. Hosts with accelerators have a
// table of their own, the second one.
type Index struct {
	tables    [2]table
	positions []position
}

// table is a matrix of the hosts by processor class and memory class. rows and cols
// are bit sets of the rows and cells that are not empty.
type table struct {
	rows  uint64
	cols  [ClassCount]uint64
	cells [ClassCount][ClassCount][]int32
}

// position is the place of a host: slot is its index in the cell.
type position struct {
	table, slot int32
	row, col    int32
}

// Set updates the free capacity of host i. A host without free processors or memory
// is removed from the index.
func (x *Index) Set(i int, free resource.Vector, accelerators bool) {
	for len(x.positions) <= i {
		x.positions = append(x.positions, position{table: noTable})
	}
	p := position{table: noTable}
	if free.MilliCPU > 0 && free.MemoryMiB > 0 {
		p = position{row: int32(Class(free.MilliCPU)), col: int32(Class(free.MemoryMiB))}
		if accelerators {
			p.table = 1
		}
	}
	old := x.positions[i]
	if old.table == p.table && old.row == p.row && old.col == p.col {
		return
	}
	x.remove(old)
	if p.table != noTable {
		t := &x.tables[p.table]
		cell := &t.cells[p.row][p.col]
		p.slot = int32(len(*cell))
		*cell = append(*cell, int32(i))
		t.cols[p.row] |= 1 << p.col
		t.rows |= 1 << p.row
	}
	x.positions[i] = p
}

func (x *Index) remove(p position) {
	if p.table == noTable {
		return
	}
	t := &x.tables[p.table]
	cell := &t.cells[p.row][p.col]
	last := (*cell)[len(*cell)-1]
	(*cell)[p.slot] = last
	x.positions[last].slot = p.slot
	*cell = (*cell)[:len(*cell)-1]
	if len(*cell) == 0 {
		t.cols[p.row] &^= 1 << p.col
		if t.cols[p.row] == 0 {
			t.rows &^= 1 << p.row
		}
	}
}

// Visit calls f for hosts that may fit size until f returns false. Hosts are
// ordered by class: fullest first if pack is true, else emptiest first. Hosts
// without accelerators come before those with. Every host that fits is visited
// unless f returns false.
func (x *Index) Visit(size resource.Vector, pack bool, f func(i int) bool) {
	for k := range x.tables {
		if k == 0 && size.Accelerators > 0 {
			continue
		}
		t := &x.tables[k]
		skipped := false
		if !t.visit(size, pack, maxBoundaryHosts, &skipped, f) {
			return
		}
		if skipped && !t.visitBoundary(size, f) {
			return
		}
	}
}

// visit calls f for the hosts of the classes that fit and for at most budget hosts
// of the boundary classes. It sets skipped if it left out some of the latter, and
// returns false if f did.
func (t *table) visit(size resource.Vector, pack bool, budget int, skipped *bool, f func(int) bool) bool {
	row0, col0 := Class(size.MilliCPU), Class(size.MemoryMiB)
	for rows := t.rows &^ (1<<row0 - 1); rows != 0; {
		r := takeBit(&rows, pack)
		for cols := t.cols[r] &^ (1<<col0 - 1); cols != 0; {
			c := takeBit(&cols, pack)
			onBoundary := r == row0 || c == col0
			for _, i := range t.cells[r][c] {
				if onBoundary {
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

// visitBoundary visits every host of the boundary classes, whose hosts may be too
// small.
func (t *table) visitBoundary(size resource.Vector, f func(int) bool) bool {
	row0, col0 := Class(size.MilliCPU), Class(size.MemoryMiB)
	for r := row0; r < ClassCount; r++ {
		for c := col0; c < ClassCount; c++ {
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

// takeBit removes the lowest or the highest bit from a set and returns its index.
func takeBit(set *uint64, low bool) int {
	i := bits.TrailingZeros64(*set)
	if !low {
		i = 63 - bits.LeadingZeros64(*set)
	}
	*set &^= 1 << i
	return i
}

// Class returns the size class of n, from 0 to ClassCount-1: four times the
// binary logarithm of n/16, rounded down, with linear steps between powers of
// two.
func Class(n int64) int {
	if n < 16 {
		return 0
	}
	l := bits.Len64(uint64(n)) - 1
	return min(4*(l-4)+int(n>>(l-2)&3), ClassCount-1)
}
