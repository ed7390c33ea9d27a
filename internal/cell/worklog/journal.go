package worklog

import (
	"context"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// refusalThreshold is the number of tries of one append after which a refusal
// means that the store refuses this node and not only this call.
const refusalThreshold = 3

// maxMarkBytes bounds the mark of an append.
const maxMarkBytes = 4 << 10

// Journal stores the records of one owner of the cell. The epoch of its
// producer is the owner's fencing token, so that the store refuses late appends
// of an earlier owner.
type Journal struct {
	sender

	// onRepeatedRefusal is called if try refusalThreshold of an append is refused.
	// It is not called for the append of the claim.
	onRepeatedRefusal func()

	mu       sync.Mutex
	producer platform.Producer
	// failed is set once an append after the claim has failed. The term is then over.
	failed bool
}

// NewJournal returns the journal of an owner. firstSeq must differ between
// claimants of one token, so that the store accepts the claim of only one.
// onRepeatedRefusal is called if try refusalThreshold of an append other than the
// claim is refused.
func NewJournal(t Target, token, firstSeq int64, onRepeatedRefusal func()) *Journal {
	return &Journal{sender: sender{Target: t}, onRepeatedRefusal: onRepeatedRefusal, producer: platform.Producer{Name: "owner", Epoch: token, Seq: firstSeq}}
}

// Claim stores the first record of the owner. It does not retry a refused append
// unless an earlier try may have been stored.
func (j *Journal) Claim(ctx context.Context, r platform.Record) error {
	return j.append(ctx, []platform.Record{r}, func(int) bool { return true })
}

// Store stores records in order. It retries until they are stored, the owner is
// fenced, the store has certainly not stored them and expects another sequence
// number, or ctx ends. After such an error, every later call fails at once. A record that
// can never be stored is left out, since it would hold up all others; its key keeps the
// value that it had. The error is then an *UnstorableError, and the journal goes on.
func (j *Journal) Store(ctx context.Context, records []platform.Record) error {
	records, unstorable := j.storable(records)
	for len(records) > 0 {
		n := fitsOneAppend(records)
		if err := j.storeOnce(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	if unstorable != nil {
		return unstorable
	}
	return nil
}

// storeOnce stores records by one append.
func (j *Journal) storeOnce(ctx context.Context, records []platform.Record) error {
	err := j.append(ctx, records, func(try int) bool {
		if try == refusalThreshold {
			j.onRepeatedRefusal()
		}
		return false
	})
	if err != nil {
		j.mu.Lock()
		j.failed = true
		j.mu.Unlock()
	}
	return err
}

// fitsOneAppend returns how many of the records, from the first on, one append holds
// besides its mark. It is at least one.
func fitsOneAppend(records []platform.Record) int {
	size := 0
	for i, r := range records {
		size += r.AppendBytes()
		if i > 0 && size > platform.MaxAppendBytes-maxMarkBytes {
			return i
		}
	}
	return len(records)
}

// storable returns the records that the store accepts, and logs the others. The error is
// nil if there are none.
func (j *Journal) storable(records []platform.Record) (out []platform.Record, unstorable *UnstorableError) {
	out = make([]platform.Record, 0, len(records))
	for _, r := range records {
		if err := r.Check(); err != nil {
			j.Log.Error("A record cannot be stored and is left out.", "error", err)
			if unstorable == nil {
				unstorable = &UnstorableError{}
			}
			unstorable.Keys = append(unstorable.Keys, r.Key)
			continue
		}
		out = append(out, r)
	}
	return out, unstorable
}

func (j *Journal) append(ctx context.Context, records []platform.Record, onRefused func(try int) (giveUp bool)) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed {
		return verdict.New(verdict.DidNotRun, "journal-broken", "an earlier append of this owner failed or has an unknown outcome")
	}
	err := j.appendUntilResolved(ctx, j.producer, records, onRefused)
	// An append with an unknown outcome may have been stored. Its sequence number must
	// not be reused: the store would treat a new record as a repeat of the old one,
	// report success and not store it.
	j.producer.Seq++
	return err
}
