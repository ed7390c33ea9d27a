package scheduler

import (
	"math/bits"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/hostindex"
)

// shapeIndex groups the sizes that wait by the logarithms of their processors
// and memory, to tell whether any of them fits a host. The groups only narrow
// the search; each answer compares exact sizes.
type shapeIndex struct {
	rows  uint64
	cols  [hostindex.Classes]uint64
	cells map[shapeCell]*sizeCount
}

type shapeCell struct{ row, col int }

// sizeCount counts the waiting shapes of each size in a cell.
type sizeCount struct {
	list []resource.Vector
	at   map[resource.Vector]*sizeSlot
}

type sizeSlot struct{ pos, n int }

func cellOf(v resource.Vector) shapeCell {
	return shapeCell{hostindex.Class(v.MilliCPU), hostindex.Class(v.MemoryMiB)}
}

func (x *shapeIndex) add(v resource.Vector) {
	k := cellOf(v)
	c := x.cells[k]
	if c == nil {
		c = &sizeCount{at: map[resource.Vector]*sizeSlot{}}
		if x.cells == nil {
			x.cells = map[shapeCell]*sizeCount{}
		}
		x.cells[k] = c
		x.cols[k.row] |= 1 << k.col
		x.rows |= 1 << k.row
	}
	if p := c.at[v]; p != nil {
		p.n++
		return
	}
	c.at[v] = &sizeSlot{pos: len(c.list), n: 1}
	c.list = append(c.list, v)
}

func (x *shapeIndex) remove(v resource.Vector) {
	k := cellOf(v)
	c := x.cells[k]
	p := c.at[v]
	if p.n--; p.n > 0 {
		return
	}
	last := len(c.list) - 1
	c.list[p.pos] = c.list[last]
	c.at[c.list[p.pos]].pos = p.pos
	c.list = c.list[:last]
	delete(c.at, v)
	if last > 0 {
		return
	}
	delete(x.cells, k)
	if x.cols[k.row] &^= 1 << k.col; x.cols[k.row] == 0 {
		x.rows &^= 1 << k.row
	}
}

// fitsAny reports whether any size fits free.
func (x *shapeIndex) fitsAny(free resource.Vector) bool {
	top := cellOf(free)
	for rows := x.rows & upTo(top.row); rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros64(rows)
		for cols := x.cols[r] & upTo(top.col); cols != 0; cols &= cols - 1 {
			for _, v := range x.cells[shapeCell{r, bits.TrailingZeros64(cols)}].list {
				if v.Fits(free) {
					return true
				}
			}
		}
	}
	return false
}

// upTo returns the set of the classes up to n.
func upTo(n int) uint64 { return 1<<(n+1) - 1 }
