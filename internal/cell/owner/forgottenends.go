package owner

import "github.com/medlarpulley/medlarpulley/internal/cell"

// forgottenEnds returns how many ends the host has forgotten without having listed them to this
// owner, and without an acknowledgement of an earlier one. Ends that earlier owners acknowledged
// leave a gap before the first end that is listed to this owner, in whichever report that is.
func (l *lifetime) forgottenEnds(listed []cell.Ended) int64 {
	if l.seenResult == 0 && !l.heardAsRestart {
		return 0
	}
	return forgottenEnds(l.seenResult, listed)
}

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
