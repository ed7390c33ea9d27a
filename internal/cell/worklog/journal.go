package worklog

import (
	"context"
	"log/slog"
	"sync"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Journal stores the records of one owner of the cell. The epoch of its
// producer is the owner's token, so that the store refuses what an earlier
// owner sends late.
type Journal struct {
	store Store
	log   *slog.Logger
	topic string

	mu       sync.Mutex
	producer platform.Producer
}

// NewJournal returns a journal of an owner. firstSeq must differ between
// claimants of one token, so that the store takes the claim of only one.
func NewJournal(s Store, log *slog.Logger, topic string, token, firstSeq int64) *Journal {
	return &Journal{store: s, log: log, topic: topic, producer: platform.Producer{Name: "owner", Epoch: token, Seq: firstSeq}}
}

// Claim stores the first record of the owner. It gives up at a refusal.
func (j *Journal) Claim(ctx context.Context, r platform.Record) error {
	return j.append(ctx, []platform.Record{r}, func() bool { return true })
}

// Store stores records in order. It tries until they are stored, the owner is
// fenced, or ctx ends.
func (j *Journal) Store(ctx context.Context, records []platform.Record) error {
	return j.append(ctx, records, func() bool { return false })
}

func (j *Journal) append(ctx context.Context, records []platform.Record, giveUp func() bool) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := settle(ctx, j.store, j.log, j.topic, j.producer, records, giveUp); err != nil {
		return err
	}
	j.producer.Seq++
	return nil
}
