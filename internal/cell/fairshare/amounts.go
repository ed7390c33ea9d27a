package fairshare

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Amounts holds an amount of each resource. Floating point is used because sums of demands
// that were submitted in bad faith would overflow an integer.
type Amounts [resource.Dimensions]float64

// AmountsOf returns n times a vector.
func AmountsOf(v resource.Vector, n int) (a Amounts) {
	for i := range a {
		a[i] = float64(v.At(i)) * float64(n)
	}
	return a
}

// Plus returns a + b.
func (a Amounts) Plus(b Amounts) Amounts {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

// Minus returns a - b.
func (a Amounts) Minus(b Amounts) Amounts {
	for i := range a {
		a[i] -= b[i]
	}
	return a
}

// Largest returns the larger amount of each resource.
func (a Amounts) Largest(b Amounts) Amounts {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// Scale returns f times a.
func (a Amounts) Scale(f float64) Amounts {
	for i := range a {
		a[i] *= f
	}
	return a
}

// Dominant returns the largest share that the amounts have of a capacity.
func (a Amounts) Dominant(capacity Amounts) (share float64) {
	for i := range a {
		if capacity[i] > 0 {
			share = max(share, a[i]/capacity[i])
		}
	}
	return share
}

// Holds returns how many times a vector fits into the amounts. Resources that it does not need
// are ignored.
func (a Amounts) Holds(v resource.Vector) int {
	n := float64(1 << 20)
	for i := range a {
		if need := v.At(i); need > 0 {
			n = min(n, a[i]/float64(need))
		}
	}
	return int(max(n, 0))
}

// within returns the smaller of a and a limit, of which zero means none.
func (a Amounts) within(limit Amounts) Amounts {
	for i := range a {
		if limit[i] > 0 {
			a[i] = min(a[i], limit[i])
		}
	}
	return a
}
