package admission

// Amounts holds amounts of the two resources by which waits are computed: cores, in thousandths,
// and memory, in MiB. Floating point is used because sums of demands that were submitted in bad
// faith would overflow an integer.
type Amounts [2]float64

// Positions in Amounts.
const (
	Cores = iota
	Memory
)

// MaxAmount bounds a published amount.
const MaxAmount = 1e15

func (a Amounts) valid() bool {
	for _, x := range a {
		if !(x >= 0 && x <= MaxAmount) {
			return false
		}
	}
	return true
}
