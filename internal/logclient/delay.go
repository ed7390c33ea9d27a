package logclient

import (
	"time"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Delays for which a Normal record waits for others. They trade appends
// against the time until the record has effect.
const (
	// JobDelay holds for accepted jobs, whose callers wait.
	JobDelay = 20 * time.Millisecond
	// IntentDelay holds for intents, for which starts wait.
	IntentDelay = 20 * time.Millisecond
	// MoveDelay holds for moves of tasks.
	MoveDelay = 50 * time.Millisecond
	// CancelDelay holds for cancellations.
	CancelDelay = 50 * time.Millisecond
	// OutcomeDelay holds for outcomes, which nobody waits for.
	OutcomeDelay = 500 * time.Millisecond
	// TransferDelay holds for transfers of allotments.
	TransferDelay = time.Second
)

// delayOf returns the delay of a record.
func delayOf(record *ledgerv1.Record, priority Priority) time.Duration {
	if priority != Normal {
		return 0
	}
	switch record.GetKind().(type) {
	case *ledgerv1.Record_JobAccepted:
		return JobDelay
	case *ledgerv1.Record_Intents:
		return IntentDelay
	case *ledgerv1.Record_Move:
		return MoveDelay
	case *ledgerv1.Record_JobCancelled:
		return CancelDelay
	case *ledgerv1.Record_Outcomes:
		return OutcomeDelay
	case *ledgerv1.Record_Transfer:
		return TransferDelay
	default:
		return 0
	}
}

// PriorityOf returns the usual priority of a record.
func PriorityOf(record *ledgerv1.Record) Priority {
	switch record.GetKind().(type) {
	case *ledgerv1.Record_Publication, *ledgerv1.Record_Join, *ledgerv1.Record_Leave,
		*ledgerv1.Record_Evict, *ledgerv1.Record_Claim, *ledgerv1.Record_Release,
		*ledgerv1.Record_Renewal:
		return Immediate
	case *ledgerv1.Record_SnapshotChunk:
		return Background
	default:
		return Normal
	}
}
