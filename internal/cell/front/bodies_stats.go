package front

import "github.com/medlarpulley/medlarpulley/internal/cell/intake"

// BodiesStats is the state of the bodies of a process.
type BodiesStats struct {
	intake.BudgetStats
	// TimedOut counts the bodies that were not received in time.
	TimedOut uint64 `json:"timed_out"`
}
