package intake

const (
	// pressureBegins and pressureFull are the parts of the memory, in percent, from which
	// on a budget shrinks, and from which on it shrinks no further. The Go runtime keeps
	// what it uses below 70 % while that suffices for what is reachable.
	pressureBegins = 75
	pressureFull   = 90
	// pressureDivisor is the part of a budget that is left then.
	pressureDivisor = 4
)

// LimitUnderPressure returns the limit of a budget of full bytes while the process uses
// used bytes of its memory. Stored work and tasks may take more than half of the memory,
// so the budgets for messages have to leave more to them then.
func LimitUnderPressure(full, used, memory int64) int64 {
	percent := min(max(used*100/max(memory, 1), pressureBegins), pressureFull)
	least := full / pressureDivisor
	return full - (full-least)*(percent-pressureBegins)/(pressureFull-pressureBegins)
}
