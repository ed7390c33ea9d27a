package cell

import "slices"

// BitSet is a set of small numbers, stored as bits. Its zero value is empty.
type BitSet []byte

// Set adds a number.
func (b *BitSet) Set(i int) {
	if n := i/8 + 1; len(*b) < n {
		*b = append(*b, make([]byte, n-len(*b))...)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Has reports whether the set holds a number.
func (b BitSet) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Clone returns a copy.
func (b BitSet) Clone() BitSet { return slices.Clone(b) }

// Members returns the numbers in the set, in order.
func (b BitSet) Members() (members []int) {
	for i := range 8 * len(b) {
		if b.Has(i) {
			members = append(members, i)
		}
	}
	return members
}
