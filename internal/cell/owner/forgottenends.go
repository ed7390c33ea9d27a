package owner

import "github.com/medlarpulley/medlarpulley/internal/cell"

// forgottenEnds returns how many ends a host has forgotten without having listed them: the numbers
// of the ends of one lifetime have no gaps. seen is the highest number that was listed before.
func forgottenEnds(seen int64, listed []cell.Ended) int64 {
	next := int64(0)
	for _, e := range listed {
		if e.Number > seen && (next == 0 || e.Number < next) {
			next = e.Number
		}
	}
	if next == 0 {
		return 0
	}
	return next - seen - 1
}
