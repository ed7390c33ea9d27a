package ledger

import (
	"fmt"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// MaxChunkBytes is the maximum size of the data of one snapshot chunk.
const MaxChunkBytes = 256 << 10

// Chunks splits a snapshot into log records. The snapshot covers all records
// below offset.
func Chunks(id string, offset uint64, data []byte) []*ledgerv1.SnapshotChunk {
	total := max(1, (len(data)+MaxChunkBytes-1)/MaxChunkBytes)
	chunks := make([]*ledgerv1.SnapshotChunk, total)
	for i := range chunks {
		from, to := i*MaxChunkBytes, min((i+1)*MaxChunkBytes, len(data))
		chunks[i] = &ledgerv1.SnapshotChunk{
			Id: id, Offset: offset, Index: int32(i), Total: int32(total), Data: data[from:to],
		}
	}
	return chunks
}

// SnapshotID returns the id of the snapshot that a node takes before it applies
// the record at an offset.
func SnapshotID(node string, incarnation, offset uint64) string {
	return fmt.Sprintf("%s/%d/%d", node, incarnation, offset)
}
