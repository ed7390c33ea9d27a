package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// IntentsApplied reports the intents of an owner. Only an effective one
// allows the start of its task.
type IntentsApplied struct {
	Origin
	Shard     string
	Token     uint64
	Effective []work.AttemptID
	Ignored   []work.AttemptID
}
