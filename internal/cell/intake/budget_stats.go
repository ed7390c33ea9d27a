package intake

// BudgetStats is the state of a budget. Limit, Receiving and Processing are in bytes,
// Messages, Shed and Refused are numbers of messages.
type BudgetStats struct {
	Limit      int64 `json:"limit"`
	Receiving  int64 `json:"receiving"`
	Processing int64 `json:"processing"`
	Messages   int   `json:"messages"`
	// Shed counts the incomplete messages that gave way to others, Refused the complete
	// ones for which there was no memory.
	Shed    uint64 `json:"shed"`
	Refused uint64 `json:"refused"`
}
