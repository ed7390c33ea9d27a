package logclient

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// batch is the content of one append. Its payload never changes, so that all
// copies that retries leave in the log are equal.
type batch struct {
	sequence    uint64
	items       []*item
	payload     []byte
	firstSentAt time.Time
	// outcomeUnknown is true if an attempt to append the batch failed in a way
	// that does not rule out that it is in the log.
	outcomeUnknown bool
	// completed is true once the results of the items are delivered, because the
	// reader has found the batch in the log or because the batch has failed.
	completed bool
}

func newBatch(node string, incarnation, sequence uint64, items []*item) (*batch, error) {
	content := &ledgerv1.Batch{Node: node, Incarnation: incarnation, Sequence: sequence}
	for _, it := range items {
		content.Records = append(content.Records, it.record)
	}
	payload, err := proto.Marshal(content)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.DidNotRun, "log-encode")
	}
	return &batch{sequence: sequence, items: items, payload: payload}, nil
}
