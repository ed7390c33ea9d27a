package logclient

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// batch is the content of one append. Its payload never changes, so that all
// copies that reach the log are equal.
type batch struct {
	sequence  uint64
	items     []*item
	payload   []byte
	firstSent time.Time
	// uncertain is true if an attempt ended without an answer, so that the
	// batch may be in the log.
	uncertain bool
	// seen is true if the reader has found the batch in the log.
	seen bool
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
