package ledger

import (
	"fmt"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// ChunkBytes is the largest data of one snapshot chunk.
const ChunkBytes = 256 << 10

// Chunks splits a snapshot that covers the records below offset.
func Chunks(id string, offset uint64, data []byte) []*ledgerv1.SnapshotChunk {
	total := max(1, (len(data)+ChunkBytes-1)/ChunkBytes)
	chunks := make([]*ledgerv1.SnapshotChunk, total)
	for i := range chunks {
		from, to := i*ChunkBytes, min((i+1)*ChunkBytes, len(data))
		chunks[i] = &ledgerv1.SnapshotChunk{
			Id: id, Offset: offset, Index: int32(i), Total: int32(total), Data: data[from:to],
		}
	}
	return chunks
}

// SnapshotID returns the id of the snapshot that a node takes at an offset.
func SnapshotID(node string, incarnation, offset uint64) string {
	return fmt.Sprintf("%s/%d/%d", node, incarnation, offset)
}
