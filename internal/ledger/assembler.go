package ledger

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// MaxAssembledBytes is the maximum size of the compressed snapshot that
// Assembler collects; a larger one is discarded.
const MaxAssembledBytes = 32 << 20

// Assembler extracts the newest complete snapshot from log records that are
// added in offset order. It holds at most one complete and one partial snapshot
// in memory. The zero value is ready for use.
type Assembler struct {
	// NextOffset is the offset of the first record that the newest complete
	// snapshot does not cover, or zero if there is none.
	NextOffset uint64
	// Data is the newest complete snapshot, or nil.
	Data []byte

	id        string
	nextIndex int32
	partial   []byte
}

// Add collects the snapshot chunks in the payload of a record. A payload that
// cannot be decoded is ignored.
func (a *Assembler) Add(payload []byte) {
	var batch ledgerv1.Batch
	if proto.Unmarshal(payload, &batch) != nil {
		return
	}
	for _, record := range batch.Records {
		if chunk := record.GetSnapshotChunk(); chunk != nil {
			a.add(chunk)
		}
	}
}

func (a *Assembler) add(c *ledgerv1.SnapshotChunk) {
	if c.Index == 0 {
		a.id, a.nextIndex, a.partial = c.Id, 0, nil
	}
	// A batch can be in the log more than once, and its chunks with it; repeated
	// chunks are skipped.
	if c.Id != a.id || c.Index != a.nextIndex || c.Index >= c.Total {
		return
	}
	if len(a.partial)+len(c.Data) > MaxAssembledBytes {
		a.id, a.partial = "", nil
		return
	}
	a.nextIndex++
	a.partial = append(a.partial, c.Data...)
	if a.nextIndex == c.Total {
		if c.Offset >= a.NextOffset {
			a.NextOffset, a.Data = c.Offset, a.partial
		}
		a.id, a.partial = "", nil
	}
}
