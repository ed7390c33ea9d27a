package ledger

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// MaxAssembledBytes bounds the compressed snapshot that Assembler collects.
const MaxAssembledBytes = 32 << 20

// Assembler finds the newest complete snapshot among records that are added in
// offset order. It keeps one complete snapshot and one in progress. The zero
// value is ready for use.
type Assembler struct {
	// Offset is the next offset after the newest complete snapshot, or zero.
	Offset uint64
	// Data is the newest complete snapshot.
	Data []byte

	id      string
	next    int32
	partial []byte
}

// Add looks for snapshot chunks in the payload of a record.
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
		a.id, a.next, a.partial = c.Id, 0, nil
	}
	// A repeated batch brings a chunk again; it is skipped.
	if c.Id != a.id || c.Index != a.next || c.Index >= c.Total {
		return
	}
	if len(a.partial)+len(c.Data) > MaxAssembledBytes {
		a.id, a.partial = "", nil
		return
	}
	a.next++
	a.partial = append(a.partial, c.Data...)
	if a.next == c.Total {
		if c.Offset >= a.Offset {
			a.Offset, a.Data = c.Offset, a.partial
		}
		a.id, a.partial = "", nil
	}
}
