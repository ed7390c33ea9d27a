package logclient

import (
	"time"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Delays for which a record of priority Normal waits for others to share its
// batch. A longer delay saves appends, but the record takes effect later.
const (
	// JobBatchDelay applies to accepted jobs. It is short because their callers
	// wait for the answer.
	JobBatchDelay = 20 * time.Millisecond
	// IntentBatchDelay applies to intents. It is short because the starts of tasks
	// wait for them.
	IntentBatchDelay = 20 * time.Millisecond
	// MoveBatchDelay applies to moves of tasks between shards.
	MoveBatchDelay = 50 * time.Millisecond
	// CancelBatchDelay applies to cancellations of jobs.
	CancelBatchDelay = 50 * time.Millisecond
	// OutcomeBatchDelay applies to outcomes of tasks. It is long because nothing
	// waits for them.
	OutcomeBatchDelay = 500 * time.Millisecond
	// TransferBatchDelay applies to transfers of allotted units.
	TransferBatchDelay = time.Second
)

// batchDelay returns how long a record may wait for others to share its batch.
func batchDelay(record *ledgerv1.Record, priority Priority) time.Duration {
	if priority != Normal {
		return 0
	}
	switch record.GetKind().(type) {
	case *ledgerv1.Record_JobAccepted:
		return JobBatchDelay
	case *ledgerv1.Record_Intents:
		return IntentBatchDelay
	case *ledgerv1.Record_Move:
		return MoveBatchDelay
	case *ledgerv1.Record_JobCancelled:
		return CancelBatchDelay
	case *ledgerv1.Record_Outcomes:
		return OutcomeBatchDelay
	case *ledgerv1.Record_Transfer:
		return TransferBatchDelay
	default:
		return 0
	}
}

// PriorityOf returns the default priority of a record, given its kind.
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
