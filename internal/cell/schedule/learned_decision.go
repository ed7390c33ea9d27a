package schedule

// learnedDecision is a kind of decision that learned run times may change.
type learnedDecision uint8

const (
	learnedObjective learnedDecision = iota
	learnedBackfill
	learnedCopy
	learnedDecisions // the number of kinds
)
