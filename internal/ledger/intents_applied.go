package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// IntentsApplied reports which intents of a shard owner took effect. An owner
// may start a non-idempotent task only after its intent has taken effect.
type IntentsApplied struct {
	Origin
	Shard     string
	Token     uint64
	Effective []work.AttemptID
	Ignored   []work.AttemptID
}
