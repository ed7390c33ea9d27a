package scheduler

import (
	"math/bits"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/hostindex"
)

// shapeIndex groups the shapes that wait by the logarithms of their processors
// and memory, to find those that fit a host. The groups only narrow the
// search; each answer compares exact sizes.
type shapeIndex struct {
	rows  uint64
	cols  [hostindex.Classes]uint64
	cells [hostindex.Classes][hostindex.Classes][]*shape
}

func (x *shapeIndex) add(sh *shape) {
	r, c := hostindex.Class(sh.key.size.MilliCPU), hostindex.Class(sh.key.size.MemoryMiB)
	cell := &x.cells[r][c]
	sh.slot = len(*cell)
	*cell = append(*cell, sh)
	x.cols[r] |= 1 << c
	x.rows |= 1 << r
}

func (x *shapeIndex) remove(sh *shape) {
	r, c := hostindex.Class(sh.key.size.MilliCPU), hostindex.Class(sh.key.size.MemoryMiB)
	cell := &x.cells[r][c]
	last := len(*cell) - 1
	(*cell)[sh.slot] = (*cell)[last]
	(*cell)[sh.slot].slot = sh.slot
	(*cell)[last] = nil
	if *cell = (*cell)[:last]; last > 0 {
		return
	}
	if x.cols[r] &^= 1 << c; x.cols[r] == 0 {
		x.rows &^= 1 << r
	}
}

// visit calls f for the shapes of the groups that may fit free until f returns false.
func (x *shapeIndex) visit(free resource.Vector, f func(sh *shape) bool) {
	row, col := hostindex.Class(free.MilliCPU), hostindex.Class(free.MemoryMiB)
	for rows := x.rows & upTo(row); rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		for cols := x.cols[r] & upTo(col); cols != 0; cols &= cols - 1 {
			for _, sh := range x.cells[r][bits.TrailingZeros64(cols)] {
				if !f(sh) {
					return
				}
			}
		}
	}
}

// fitsAny reports whether any shape fits free.
func (x *shapeIndex) fitsAny(free resource.Vector) (found bool) {
	x.visit(free, func(sh *shape) bool {
		found = sh.key.size.Fits(free)
		return !found
	})
	return found
}

// upTo returns the set of the classes up to n.
func upTo(n int) uint64 { return 1<<(n+1) - 1 }
