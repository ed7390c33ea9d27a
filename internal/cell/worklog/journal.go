package worklog

import (
	"context"
	"log/slog"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// refusedTries is how many refusals in a row tell that the store refuses this
// node and not only this call.
const refusedTries = 3

// Journal stores the records of one owner of the cell. The epoch of its
// producer is the owner's token, so that the store refuses what an earlier
// owner sends late.
type Journal struct {
	store Store
	log   *slog.Logger
	topic string

	refused func()

	mu       sync.Mutex
	producer platform.Producer
	// broken is set once an append of the term failed; the term is over then.
	broken bool
}

// NewJournal returns a journal of an owner. firstSeq must differ between
// claimants of one token, so that the store takes the claim of only one.
// refused is called once an append has been refused several times in a row.
func NewJournal(s Store, log *slog.Logger, topic string, token, firstSeq int64, refused func()) *Journal {
	return &Journal{store: s, log: log, topic: topic, refused: refused, producer: platform.Producer{Name: "owner", Epoch: token, Seq: firstSeq}}
}

// Claim stores the first record of the owner. It gives up at a refusal.
func (j *Journal) Claim(ctx context.Context, r platform.Record) error {
	return j.append(ctx, []platform.Record{r}, func(int) bool { return true })
}

// Store stores records in order. It tries until they are stored, the owner is
// fenced, or ctx ends.
func (j *Journal) Store(ctx context.Context, records []platform.Record) error {
	err := j.append(ctx, records, func(try int) bool {
		if try == refusedTries {
			j.refused()
		}
		return false
	})
	if err != nil {
		j.mu.Lock()
		j.broken = true
		j.mu.Unlock()
	}
	return err
}

func (j *Journal) append(ctx context.Context, records []platform.Record, refused func(try int) (giveUp bool)) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken {
		return verdict.New(verdict.DidNotRun, "journal-broken", "an earlier append of this owner was not settled")
	}
	err := settle(ctx, j.store, j.log, j.topic, j.producer, records, refused)
	// An append whose outcome is open may have been stored. Its number must not be
	// used again: the store would answer a new record like the old one.
	j.producer.Seq++
	return err
}
