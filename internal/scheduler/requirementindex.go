package scheduler

import (
	"math/bits"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/hostindex"
)

// requirementIndex groups the listed requirements by the logarithms of their
// processors and memory, to find those that fit a host. The cells only narrow
// the search; callers compare exact sizes.
type requirementIndex struct {
	rows  uint64
	cols  [hostindex.ClassCount]uint64
	cells [hostindex.ClassCount][hostindex.ClassCount][]*requirement
}

func (x *requirementIndex) add(req *requirement) {
	r, c := hostindex.Class(req.key.size.MilliCPU), hostindex.Class(req.key.size.MemoryMiB)
	cell := &x.cells[r][c]
	req.index = len(*cell)
	*cell = append(*cell, req)
	x.cols[r] |= 1 << c
	x.rows |= 1 << r
}

func (x *requirementIndex) remove(req *requirement) {
	r, c := hostindex.Class(req.key.size.MilliCPU), hostindex.Class(req.key.size.MemoryMiB)
	cell := &x.cells[r][c]
	last := len(*cell) - 1
	(*cell)[req.index] = (*cell)[last]
	(*cell)[req.index].index = req.index
	(*cell)[last] = nil
	if *cell = (*cell)[:last]; last > 0 {
		return
	}
	if x.cols[r] &^= 1 << c; x.cols[r] == 0 {
		x.rows &^= 1 << r
	}
}

// visit calls f for the requirements of the cells that may fit free until f
// returns false.
func (x *requirementIndex) visit(free resource.Vector, f func(req *requirement) bool) {
	row, col := hostindex.Class(free.MilliCPU), hostindex.Class(free.MemoryMiB)
	for rows := x.rows & upTo(row); rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		for cols := x.cols[r] & upTo(col); cols != 0; cols &= cols - 1 {
			for _, req := range x.cells[r][bits.TrailingZeros64(cols)] {
				if !f(req) {
					return
				}
			}
		}
	}
}

// fitsAny reports whether any requirement fits free.
func (x *requirementIndex) fitsAny(free resource.Vector) (found bool) {
	x.visit(free, func(req *requirement) bool {
		found = req.key.size.Fits(free)
		return !found
	})
	return found
}

// upTo returns the bit set of the classes 0 to n.
func upTo(n int) uint64 { return 1<<(n+1) - 1 }
